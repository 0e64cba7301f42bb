package labdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltimeline"
)

// ErrStatus means that a process responded with a status other than 2xx.
var ErrStatus = eris.New("unexpected status")

// client sends requests to the admin addresses of daemons, the platform's address for
// operators, and the lab's endpoints of targets.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4},
	}}
}

func (c *client) do(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read response of %s: %w", address, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s%s: status %d, %s: %w", method, address, path, response.StatusCode, bytes.TrimSpace(data), ErrStatus)
	}
	return data, nil
}

func (c *client) getJSON(ctx context.Context, address, path string, result any) error {
	data, err := c.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode response of %s%s: %w", address, path, err)
	}
	return nil
}

// publish writes the value of a key to the platform.
func (c *client) publish(ctx context.Context, m Mesh, key string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, m.operatorAddress(), "/v1/keys/"+key, data)
	return err
}

// platformStatsBody is the part of the platform's counters that the demo reads.
type platformStatsBody struct {
	Reads    uint64 `json:"reads"`
	Watches  uint64 `json:"watches"`
	Refused  uint64 `json:"refused"`
	Revision uint64 `json:"revision"`
}

func (c *client) platformStats(ctx context.Context, m Mesh) (platformStatsBody, error) {
	var b platformStatsBody
	err := c.getJSON(ctx, m.operatorAddress(), "/v1/stats", &b)
	return b, err
}

// timeline returns the events in a daemon's timeline.
func (c *client) timeline(ctx context.Context, v VM) ([]basillift.Event, error) {
	data, err := c.do(ctx, http.MethodGet, v.adminAddress(), "/timeline", nil)
	if err != nil {
		return nil, err
	}
	events, err := bltimeline.Read(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("timeline of %s: %w", v.name, err)
	}
	return events, nil
}

// version returns the version in force at a daemon.
func (c *client) version(ctx context.Context, v VM) (basillift.Version, error) {
	var b struct {
		Version basillift.Version `json:"version"`
	}
	err := c.getJSON(ctx, v.adminAddress(), "/status", &b)
	return b.Version, err
}

// targetStatsBody is the part of a target's counters that the demo reads. LastStartMillis
// is the start of the last call in Unix milliseconds.
type targetStatsBody struct {
	Started         int   `json:"started"`
	LastStartMillis int64 `json:"last"`
}

func (c *client) targetStats(ctx context.Context, v VM) (targetStatsBody, error) {
	var b targetStatsBody
	err := c.getJSON(ctx, v.targetAddress(), "/lab/stats", &b)
	return b, err
}

// runCounts returns how often each call id ran, over all targets, and how many runs the
// targets did not record by call id.
func (c *client) runCounts(ctx context.Context, vms []VM) (map[string]int, int, error) {
	total, dropped := map[string]int{}, 0
	for _, v := range vms {
		var b struct {
			Runs    map[string]int `json:"runs"`
			Dropped int            `json:"dropped"`
		}
		if err := c.getJSON(ctx, v.targetAddress(), "/lab/runs?all=true", &b); err != nil {
			return nil, 0, err
		}
		dropped += b.Dropped
		for id, n := range b.Runs {
			total[id] += n
		}
	}
	return total, dropped, nil
}

// controlBytes returns the sum of a daemon's counters of control bytes.
func (c *client) controlBytes(ctx context.Context, v VM) (uint64, error) {
	data, err := c.do(ctx, http.MethodGet, v.adminAddress(), "/metrics", nil)
	if err != nil {
		return 0, err
	}
	return sumMetric(data, "basillift_control_bytes_total")
}

// sumMetric returns the sum of a metric's samples over all labels.
func sumMetric(text []byte, name string) (uint64, error) {
	var sum uint64
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		sample, value, _ := strings.Cut(lines.Text(), " ")
		if sample != name && !strings.HasPrefix(sample, name+"{") {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return 0, fmt.Errorf("read metric %s: %w", sample, err)
		}
		sum += uint64(n)
	}
	return sum, nil
}
