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
	"basillift.dev/basillift/blroute"
)

var errLoadReport = eris.New("load report is not usable")

// Settings say where the target is and how often it is asked.
type Settings struct {
	address  string
	health   string
	load     string
	interval time.Duration
	timeout  time.Duration
}

// NewSettings returns the defaults for a target: /health and /load every 500 ms, with a timeout of 1 s.
func NewSettings(address string) Settings {
	return Settings{
		address: address, health: "/health", load: "/load",
		interval: 500 * time.Millisecond, timeout: time.Second,
	}
}

// WithPaths returns a copy with other paths of the endpoints.
func (s Settings) WithPaths(health, load string) Settings {
	s.health, s.load = health, load
	return s
}

// WithInterval returns a copy with another time between two polls and another
// bound for each. The interval must stay below 3 s, which counts as a pause.
func (s Settings) WithInterval(interval, timeout time.Duration) Settings {
	s.interval, s.timeout = interval, timeout
	return s
}

// Poller asks the target for its state until it is told to drain.
type Poller struct {
	settings Settings
	local    basillift.LocalTarget
	client   *fasthttp.HostClient

	mutex  sync.Mutex
	judge  *HealthTracker
	latest ReportedLoad
}

// New returns a poller that has not asked yet.
func New(s Settings, local basillift.LocalTarget) *Poller {
	return &Poller{
		settings: s, local: local, judge: NewHealthTracker(),
		client: &fasthttp.HostClient{
			Addr: s.address, ReadTimeout: s.timeout, WriteTimeout: s.timeout, MaxConns: 2,
			MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 2 * s.interval, MaxResponseBodySize: maxReport,
			Dial: func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, s.timeout) },
		},
	}
}

// Run polls until ctx ends.
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

// poll asks both endpoints before it judges: a target that is healthy but reports
// that it drains must not be announced as ready in between.
func (p *Poller) poll() {
	healthy := p.healthy()
	l, err := p.askLoad()
	if err != nil {
		// A target without a usable report is judged by the rest.
		l = ReportedLoad{}
	}
	p.apply(func(now time.Time, j *HealthTracker) basillift.TargetState {
		p.latest = l
		j.Load(now, l)
		return j.Health(now, healthy)
	})
}

// ObserveCall takes the result of a call from the request path.
func (p *Poller) ObserveCall(now time.Time, r blroute.Result) {
	p.apply(func(_ time.Time, j *HealthTracker) basillift.TargetState { return j.Call(now, r) })
}

// Drain announces that the target is leaving, and stays with it.
func (p *Poller) Drain() {
	p.apply(func(_ time.Time, j *HealthTracker) basillift.TargetState { return j.Drain() })
}

// Load is the last report of the load endpoint.
func (p *Poller) Load() ReportedLoad {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.latest
}

// apply feeds the tracker and announces a changed state. A target that was marked
// as gone stays gone.
func (p *Poller) apply(event func(now time.Time, j *HealthTracker) basillift.TargetState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := event(time.Now(), p.judge)
	current := p.local.State()
	if state != current && current != basillift.TargetGone {
		p.local.SetState(state)
	}
}

func (p *Poller) healthy() bool {
	status, _, err := p.get(p.settings.health)
	return err == nil && status == fasthttp.StatusOK
}

// report is the JSON of the load endpoint.
type report struct {
	Slots int                   `json:"slots"`
	Used  int                   `json:"used"`
	Queue int                   `json:"queue"`
	State basillift.TargetState `json:"state"`
}

func (p *Poller) askLoad() (ReportedLoad, error) {
	status, body, err := p.get(p.settings.load)
	if err != nil {
		return ReportedLoad{}, err
	}
	if status != fasthttp.StatusOK {
		return ReportedLoad{}, fmt.Errorf("ask for load: status %d: %w", status, errLoadReport)
	}
	var r report
	err = json.Unmarshal(body, &r)
	if err != nil {
		return ReportedLoad{}, fmt.Errorf("ask for load: %w", err)
	}
	if r.Slots < 0 || r.Used < 0 || r.Queue < 0 {
		return ReportedLoad{}, fmt.Errorf("ask for load: negative number: %w", errLoadReport)
	}
	return NewReportedLoad(r.Slots, r.Used, r.Queue, r.State), nil
}

// maxReport bounds the body that an endpoint may answer with.
const maxReport = 64 << 10

func (p *Poller) get(path string) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + p.settings.address + path)
	err := p.client.Do(request, response)
	if err != nil {
		return 0, nil, fmt.Errorf("ask target: %w", err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
