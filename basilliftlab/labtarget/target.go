// Package labtarget is a stand-in for a service's server: it has slots, a limit
// and a cost of connections, a cold start, a work time, a bounded queue, and
// health and load endpoints that can lag and mislead. Its answers let a caller
// detect a wrong, crossed or cut one, and it counts how often each call ran.
//
// # Usage
//
//	t := labtarget.New(labtarget.NewOptions("vm1", "127.0.1.1:7104"), time.Now())
//	err := t.Run(ctx) // drains when ctx ends
//
// Every path but the ones below is work. A call names itself with Lab-Call, its
// answer's size with Lab-Size, additional work in ms with Lab-Work, and crashes
// the target with Lab-Crash: true.
//
//	GET  /health      200 when willing, else 503
//	GET  /load        {"slots":10,"used":3,"queue":0,"state":"ready"}
//	POST /lab/switch  {"lag":500,"lie":"idle","drain":false,"shed":0.1}
//	GET  /lab/runs    how often each non-idempotent call ran; ?all=true for all calls
//	GET  /lab/stats   counters, and the time of the last start of a call
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

// drainTime bounds the wait for running calls at the end, as on the design page.
const drainTime = 30 * time.Second

// Target is one stand-in. One lock guards all its state.
type Target struct {
	options  Options
	slots    chan struct{}
	listener *listener

	lock     sync.Mutex
	gate     *Gate
	reporter *Reporter
	runs     *Runs
	random   *rand.Rand
	stats    statsBody
}

// statsBody is the JSON form of the counters. Last is Unix milliseconds.
type statsBody struct {
	Started     int   `json:"started"`
	Ended       int   `json:"ended"`
	Cancelled   int   `json:"cancelled"`
	Refused     int   `json:"refused"`
	Dropped     int   `json:"dropped"`
	Last        int64 `json:"last"`
	Connections int64 `json:"connections"`
	Closed      int64 `json:"closed"`
}

// New returns a target that is cold from now on for the time in its options.
func New(o Options, now time.Time) *Target {
	return &Target{
		options:  o,
		slots:    make(chan struct{}, o.slots),
		gate:     NewGate(o.slots, o.queue, now.Add(o.cold)),
		reporter: &Reporter{},
		runs:     NewRuns(),
		random:   rand.New(rand.NewSource(o.seed)),
	}
}

// Run serves until ctx ends, then refuses new calls and waits for running ones.
func (t *Target) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.options.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.listener = &listener{Listener: l, limit: t.options.connections, cost: t.options.connectionCost}
	t.options.log.Info().Str("name", t.options.name).Str("address", l.Addr().String()).Msg("target started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.loop(ctx)
	if err := labhttp.NewServer(t.listener, t.Handler()).Serve(ctx, drainTime); err != nil {
		return fmt.Errorf("serve target: %w", err)
	}
	t.options.log.Info().Str("name", t.options.name).Msg("target stopped")
	return nil
}

// Handler answers callers, the daemon's polls and the checks of the lab.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", t.health)
	m.HandleFunc("GET /load", t.load)
	m.HandleFunc("POST /lab/switch", t.turn)
	m.HandleFunc("GET /lab/runs", t.listRuns)
	m.HandleFunc("GET /lab/stats", t.report)
	m.HandleFunc("/", t.work)
	return m
}

// loop samples the load, so that reports can lag, and drains when ctx ends.
func (t *Target) loop(ctx context.Context) {
	ticker := time.NewTicker(samplePause)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.lock.Lock()
			t.reporter.Sample(now, t.gate.Load(now))
			t.lock.Unlock()
		case <-ctx.Done():
			t.lock.Lock()
			t.gate.Switch(true, 0)
			t.lock.Unlock()
			return
		}
	}
}

// workTime draws the time that one call works.
func (t *Target) workTime() time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return time.Duration(float64(t.options.work) * math.Exp(t.options.spread*t.random.NormFloat64()))
}
