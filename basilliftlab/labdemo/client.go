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

// ErrAnswer means that a process answered its check with another status than 2xx.
var ErrAnswer = eris.New("unexpected answer")

// client asks the admin address of daemons, the operators' address of the
// platform, and the lab's endpoints of targets.
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	a, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if a.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s%s: status %d, %s: %w", method, address, path, a.StatusCode, bytes.TrimSpace(data), ErrAnswer)
	}
	return data, nil
}

func (c *client) json(ctx context.Context, address, path string, into any) error {
	data, err := c.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode answer of %s%s: %w", address, path, err)
	}
	return nil
}

// publish writes a key on the platform.
func (c *client) publish(ctx context.Context, m Mesh, key string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, m.operators(), "/v1/keys/"+key, data)
	return err
}

// platformBody holds the counters of the platform that the demo reads.
type platformBody struct {
	Reads    uint64 `json:"reads"`
	Watches  uint64 `json:"watches"`
	Refused  uint64 `json:"refused"`
	Revision uint64 `json:"revision"`
}

func (c *client) platform(ctx context.Context, m Mesh) (platformBody, error) {
	var b platformBody
	err := c.json(ctx, m.operators(), "/v1/stats", &b)
	return b, err
}

// timeline reads the events that a daemon keeps.
func (c *client) timeline(ctx context.Context, v VM) ([]basillift.Event, error) {
	data, err := c.do(ctx, http.MethodGet, v.admin(), "/timeline", nil)
	if err != nil {
		return nil, err
	}
	events, err := bltimeline.Read(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("timeline of %s: %w", v.name, err)
	}
	return events, nil
}

// version asks a daemon for the version in force.
func (c *client) version(ctx context.Context, v VM) (basillift.Version, error) {
	var b struct {
		Version basillift.Version `json:"version"`
	}
	err := c.json(ctx, v.admin(), "/status", &b)
	return b.Version, err
}

// targetBody holds the counters of a target that the demo reads.
type targetBody struct {
	Started int   `json:"started"`
	Last    int64 `json:"last"`
}

func (c *client) target(ctx context.Context, v VM) (targetBody, error) {
	var b targetBody
	err := c.json(ctx, v.target(), "/lab/stats", &b)
	return b, err
}

// runs adds up how often each call ran at the targets, and the runs that a
// target could not count.
func (c *client) runs(ctx context.Context, vms []VM) (map[string]int, int, error) {
	total, dropped := map[string]int{}, 0
	for _, v := range vms {
		var b struct {
			Runs    map[string]int `json:"runs"`
			Dropped int            `json:"dropped"`
		}
		if err := c.json(ctx, v.target(), "/lab/runs?all=true", &b); err != nil {
			return nil, 0, err
		}
		dropped += b.Dropped
		for id, n := range b.Runs {
			total[id] += n
		}
	}
	return total, dropped, nil
}

// controlBytes adds up a daemon's counters of control bytes.
func (c *client) controlBytes(ctx context.Context, v VM) (uint64, error) {
	data, err := c.do(ctx, http.MethodGet, v.admin(), "/metrics", nil)
	if err != nil {
		return 0, err
	}
	return sumMetric(data, "basillift_control_bytes_total")
}

// sumMetric adds up the samples of one metric over all its labels.
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
