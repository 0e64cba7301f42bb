package bltarget

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/blroute"
)

var errInvalidLoadReport = eris.New("invalid load report")

// Settings hold the target's address and endpoints and how often they are polled.
type Settings struct {
	address    string
	healthPath string
	loadPath   string
	interval   time.Duration
	timeout    time.Duration
}

// NewSettings returns the defaults for a target at a host:port address: /health and
// /load are polled every 500 ms with a timeout of 1 s.
func NewSettings(address string) Settings {
	return Settings{
		address: address, healthPath: "/health", loadPath: "/load",
		interval: 500 * time.Millisecond, timeout: time.Second,
	}
}

// WithPaths returns a copy with other paths of the endpoints.
func (s Settings) WithPaths(healthPath, loadPath string) Settings {
	s.healthPath, s.loadPath = healthPath, loadPath
	return s
}

// WithInterval returns a copy with another polling interval and another timeout for
// each request. The interval must be below 3 s, since longer gaps count as a pause of
// the daemon.
func (s Settings) WithInterval(interval, timeout time.Duration) Settings {
	s.interval, s.timeout = interval, timeout
	return s
}

// Poller polls the endpoints of the target and announces the state that follows. It is
// safe for concurrent use.
type Poller struct {
	settings Settings
	local    basillift.LocalTarget
	client   *fasthttp.HostClient

	mutex    sync.Mutex
	tracker  *HealthTracker
	lastLoad ReportedLoad
}

// New returns a poller that announces states to local. It polls only while Run runs.
func New(s Settings, local basillift.LocalTarget) *Poller {
	return &Poller{
		settings: s, local: local, tracker: NewHealthTracker(),
		client: &fasthttp.HostClient{
			Addr: s.address, ReadTimeout: s.timeout, WriteTimeout: s.timeout, MaxConns: 2,
			MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 2 * s.interval, MaxResponseBodySize: maxReportBytes,
			Dial: func(address string) (net.Conn, error) { return blhttp.Dial(address, s.timeout) },
		},
	}
}

// Run polls at once and then in each interval until ctx is canceled.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(p.settings.interval)
	defer ticker.Stop()
	for {
		p.poll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll requests both endpoints before it updates the state. Otherwise a target that is
// healthy but reports draining would be announced as ready in between.
func (p *Poller) poll() {
	healthy := p.checkHealth()
	l, err := p.fetchLoad()
	if err != nil {
		// Without a valid load report, the state depends on health checks and calls.
		l = ReportedLoad{}
	}
	p.apply(func(now time.Time, t *HealthTracker) basillift.TargetState {
		p.lastLoad = l
		t.ObserveLoad(now, l)
		return t.ObserveHealth(now, healthy)
	})
}

// ObserveCall records the result of a call to the target. The request path calls it.
func (p *Poller) ObserveCall(now time.Time, r blroute.Result) {
	p.apply(func(_ time.Time, t *HealthTracker) basillift.TargetState { return t.ObserveCall(now, r) })
}

// Drain announces the state draining, which is permanent.
func (p *Poller) Drain() {
	p.apply(func(_ time.Time, t *HealthTracker) basillift.TargetState { return t.Drain() })
}

// Load is the report of the latest poll, or the zero value if that failed.
func (p *Poller) Load() ReportedLoad {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastLoad
}

// apply passes an event to the tracker and announces the state if it changed. The
// state gone is never replaced.
func (p *Poller) apply(event func(now time.Time, t *HealthTracker) basillift.TargetState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := event(time.Now(), p.tracker)
	current := p.local.State()
	if state != current && current != basillift.TargetGone {
		p.local.SetState(state)
	}
}

func (p *Poller) checkHealth() bool {
	status, _, err := p.get(p.settings.healthPath)
	return err == nil && status == fasthttp.StatusOK
}

// loadReport is the JSON response of the load endpoint.
type loadReport struct {
	Slots int                   `json:"slots"`
	Used  int                   `json:"used"`
	Queue int                   `json:"queue"`
	State basillift.TargetState `json:"state"`
}

func (p *Poller) fetchLoad() (ReportedLoad, error) {
	status, body, err := p.get(p.settings.loadPath)
	if err != nil {
		return ReportedLoad{}, err
	}
	if status != fasthttp.StatusOK {
		return ReportedLoad{}, fmt.Errorf("fetch load report: status %d: %w", status, errInvalidLoadReport)
	}
	var r loadReport
	err = json.Unmarshal(body, &r)
	if err != nil {
		return ReportedLoad{}, fmt.Errorf("decode load report: %w", err)
	}
	if r.Slots < 0 || r.Used < 0 || r.Queue < 0 {
		return ReportedLoad{}, fmt.Errorf("fetch load report: negative number: %w", errInvalidLoadReport)
	}
	return NewReportedLoad(r.Slots, r.Used, r.Queue, r.State), nil
}

// maxReportBytes limits the response body of an endpoint.
const maxReportBytes = 64 << 10

func (p *Poller) get(path string) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + p.settings.address + path)
	err := p.client.Do(request, response)
	if err != nil {
		return 0, nil, fmt.Errorf("query target: %w", err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
