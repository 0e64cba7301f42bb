// Package labtarget simulates a target, a server of a service: it has slots, a limit
// on connections and a cost of opening one, a cold start, a work time, a bounded
// queue, and health and load endpoints that can lag or report a false load. A caller
// can detect from a response that it is corrupted, truncated or belongs to another
// call. The target counts how often each call ran.
//
// # Usage
//
//	t := labtarget.New(labtarget.NewOptions("vm1", "127.0.1.1:7104"), time.Now())
//	err := t.Run(ctx) // drains when ctx ends
//
// A request to any other path than those below is a call. Its header Lab-Call is the
// call id, Lab-Size the response size in bytes, Lab-Work the additional work time in
// ms, and Lab-Crash: true crashes the target.
//
//	GET  /health      200 if the target accepts calls, else 503
//	GET  /load        {"slots":10,"used":3,"queue":0,"state":"ready"}
//	POST /lab/switch  {"lag":500,"lie":"idle","drain":false,"shed":0.1}
//	GET  /lab/runs    how often each non-idempotent call ran; ?all=true for all calls
//	GET  /lab/stats   counters, and the time at which the last call started
package labtarget

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"basillift.dev/basilliftlab/labhttp"
)

// drainTimeout limits the wait for running calls at shutdown, as on the design page.
const drainTimeout = 30 * time.Second

// Target is a simulated target. The mutex guards the fields below it.
type Target struct {
	options  Options
	slots    chan struct{}
	listener *listener

	mutex      sync.Mutex
	admission  *AdmissionController
	reporter   *Reporter
	runCounter *RunCounter
	random     *rand.Rand
	stats      statsBody
}

// statsBody is the response of GET /lab/stats. LastStart is in Unix milliseconds;
// ClosedConnections counts those that were closed because of the limit.
type statsBody struct {
	Started           int   `json:"started"`
	Ended             int   `json:"ended"`
	Cancelled         int   `json:"cancelled"`
	Refused           int   `json:"refused"`
	Dropped           int   `json:"dropped"`
	LastStart         int64 `json:"last"`
	OpenConnections   int64 `json:"connections"`
	ClosedConnections int64 `json:"closed"`
}

// New returns a target whose cold start begins at now.
func New(o Options, now time.Time) *Target {
	return &Target{
		options:    o,
		slots:      make(chan struct{}, o.slots),
		admission:  NewAdmissionController(o.slots, o.maxQueue, now.Add(o.coldStart)),
		reporter:   &Reporter{},
		runCounter: NewRunCounter(),
		random:     rand.New(rand.NewSource(o.seed)),
	}
}

// Run serves until ctx ends, then refuses new calls and waits for running ones.
func (t *Target) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.options.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.listener = &listener{Listener: l, maxConnections: t.options.maxConnections, connectionDelay: t.options.connectionDelay}
	t.options.log.Info().Str("name", t.options.name).Str("address", l.Addr().String()).Msg("target started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.loop(ctx)
	if err := labhttp.NewServer(t.listener, t.Handler()).Serve(ctx, drainTimeout); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	t.options.log.Info().Str("name", t.options.name).Msg("target stopped")
	return nil
}

// Handler serves calls, the polls of the daemon and the lab's own endpoints.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", t.handleHealth)
	m.HandleFunc("GET /load", t.handleLoad)
	m.HandleFunc("POST /lab/switch", t.handleSwitch)
	m.HandleFunc("GET /lab/runs", t.handleRuns)
	m.HandleFunc("GET /lab/stats", t.handleStats)
	m.HandleFunc("/", t.handleCall)
	return m
}

// loop samples the load for reports that lag, and starts draining when ctx ends.
func (t *Target) loop(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.mutex.Lock()
			t.reporter.Sample(now, t.admission.Load(now))
			t.mutex.Unlock()
		case <-ctx.Done():
			t.mutex.Lock()
			t.admission.SetSwitches(true, 0)
			t.mutex.Unlock()
			return
		}
	}
}

// drawWorkTime returns a random work time for one call.
func (t *Target) drawWorkTime() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Duration(float64(t.options.medianWork) * math.Exp(t.options.workSigma*t.random.NormFloat64()))
}
