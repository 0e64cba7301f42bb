// Package labplatform is a stand-in for the platform that basillift reads. It
// implements the platform's published protocol and can simulate its known faults:
// outages, responses from a fixed old revision (stale), responses from before a key's
// last write (older), slow responses, and a restore that sets the revision back.
//
// # Usage
//
//	p := labplatform.New(labplatform.NewOptions("127.0.0.1:7000", "127.0.0.1:7001"))
//	err := p.Run(ctx)
//
// Readers use GET /v1/keys/{key}, with ?watch={modification revision}&wait={seconds}
// for a long poll. On the operators' address, PUT /v1/keys/{key} writes a value,
// POST /v1/faults sets the faults, e.g. {"outage":true}, and GET /v1/stats returns the
// request counters.
package labplatform

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"basillift.dev/basilliftlab/labhttp"
)

// DefaultBudget is the default read budget: the requests per second that the platform
// serves, over all readers.
const DefaultBudget = 2000

// Options are the settings of a platform.
type Options struct {
	readAddress     string
	operatorAddress string
	budget          int
	seed            int64
	log             zerolog.Logger
}

// NewOptions returns the default options. The two listen addresses are IP:port.
func NewOptions(readAddress, operatorAddress string) Options {
	return Options{readAddress: readAddress, operatorAddress: operatorAddress, budget: DefaultBudget, seed: 1, log: zerolog.Nop()}
}

// WithBudget returns a copy with another read budget in requests per second.
func (o Options) WithBudget(budget int) Options {
	o.budget = budget
	return o
}

// WithSeed returns a copy with another seed for the random choices of the older fault.
func (o Options) WithSeed(seed int64) Options {
	o.seed = seed
	return o
}

// WithLog returns a copy that writes to a log. The default is no log.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.log = log
	return o
}

// Platform serves readers and operators. Its mutex guards the state, so it is safe for
// concurrent use.
type Platform struct {
	options Options
	budget  *rate.Limiter

	mutex   sync.Mutex
	store   *Store
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
	stats   statsBody
}

// statsBody is the JSON form of the counters. Waiting is the number of watches that wait
// for a change now.
type statsBody struct {
	Reads    uint64 `json:"reads"`
	Watches  uint64 `json:"watches"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Bytes    uint64 `json:"bytes"`
	Waiting  int    `json:"waiting"`
	Revision uint64 `json:"revision"`
}

// New returns a platform without values.
func New(o Options) *Platform {
	return &Platform{
		options: o,
		// The burst is a tenth of a second's requests, so that any second stays within
		// 1.1 times the budget (with a budget of 10 or more).
		budget:  rate.NewLimiter(rate.Limit(o.budget), max(1, o.budget/10)),
		store:   NewStore(),
		random:  rand.New(rand.NewSource(o.seed)),
		changed: make(chan struct{}),
	}
}

// Run serves both addresses until ctx ends or one of the servers fails.
func (p *Platform) Run(ctx context.Context) error {
	readListener, err := net.Listen("tcp", p.options.readAddress)
	if err != nil {
		return fmt.Errorf("listen for readers: %w", err)
	}
	operatorListener, err := net.Listen("tcp", p.options.operatorAddress)
	if err != nil {
		_ = readListener.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	p.options.log.Info().Str("readers", readListener.Addr().String()).
		Str("operators", operatorListener.Addr().String()).Msg("platform started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operators := &operatorServer{server: labhttp.NewServer(operatorListener, p.OperatorHandler()), cancel: cancel, done: make(chan error, 1)}
	go operators.run(ctx)
	err = labhttp.NewServer(readListener, p.ReadHandler()).WithBase(ctx).Serve(ctx, time.Second)
	cancel()
	if operatorErr := <-operators.done; err == nil {
		err = operatorErr
	}
	return err
}

// operatorServer runs the operators' server beside the readers' server. When one of the
// two ends, the other is stopped.
type operatorServer struct {
	server *labhttp.Server
	cancel context.CancelFunc
	done   chan error
}

func (s *operatorServer) run(ctx context.Context) {
	s.done <- s.server.Serve(ctx, time.Second)
	s.cancel()
}

// ReadHandler returns the handler for readers.
func (p *Platform) ReadHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/keys/{key}", p.read)
	return m
}

// OperatorHandler returns the handler for operators, tests and the demo.
func (p *Platform) OperatorHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/keys/{key}", p.put)
	m.HandleFunc("POST /v1/faults", p.setFaults)
	m.HandleFunc("GET /v1/stats", p.serveStats)
	return m
}
