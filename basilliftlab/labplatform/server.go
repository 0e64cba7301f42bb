// Package labplatform is a stand-in for the platform that basillift reads. It
// speaks the platform's published protocol and can show its known faults:
// outages, stale answers, answers from an older revision, slow answers and a
// numbering that goes back.
//
// # Usage
//
//	p := labplatform.New(labplatform.NewOptions("127.0.0.1:7000", "127.0.0.1:7001"))
//	err := p.Run(ctx)
//
// Readers use GET /v1/keys/{key}, with ?watch={mod}&wait={seconds} for a long
// poll. On the operators' address PUT /v1/keys/{key} writes, POST /v1/faults
// switches faults, for example {"outage":true}, and GET /v1/stats counts calls.
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

// DefaultBudget is the number of calls/s that the platform answers over all readers.
const DefaultBudget = 2000

// Options are the settings of a platform.
type Options struct {
	listen    string
	operators string
	budget    int
	seed      int64
	log       zerolog.Logger
}

// NewOptions returns the default options with the two listen addresses.
func NewOptions(listen, operators string) Options {
	return Options{listen: listen, operators: operators, budget: DefaultBudget, seed: 1, log: zerolog.Nop()}
}

// WithBudget returns a copy with another read budget in calls/s.
func (o Options) WithBudget(budget int) Options {
	o.budget = budget
	return o
}

// WithSeed returns a copy with another seed for the older fault.
func (o Options) WithSeed(seed int64) Options {
	o.seed = seed
	return o
}

// WithLog returns a copy that logs.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.log = log
	return o
}

// Platform answers readers and operators. All its state is guarded by one lock.
type Platform struct {
	options Options
	budget  *rate.Limiter

	lock    sync.Mutex
	store   *Store
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
	stats   statsBody
}

// statsBody is the JSON form of the counters.
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
		// A burst of a tenth of a second keeps any whole second within 1.1 times the budget.
		budget:  rate.NewLimiter(rate.Limit(o.budget), max(1, o.budget/10)),
		store:   NewStore(),
		random:  rand.New(rand.NewSource(o.seed)),
		changed: make(chan struct{}),
	}
}

// Run serves until ctx ends or a listener fails.
func (p *Platform) Run(ctx context.Context) error {
	readers, err := net.Listen("tcp", p.options.listen)
	if err != nil {
		return fmt.Errorf("listen for readers: %w", err)
	}
	operators, err := net.Listen("tcp", p.options.operators)
	if err != nil {
		_ = readers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	p.options.log.Info().Str("readers", readers.Addr().String()).
		Str("operators", operators.Addr().String()).Msg("platform started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	side := &side{server: labhttp.NewServer(operators, p.OperatorHandler()), cancel: cancel, ended: make(chan error, 1)}
	go side.run(ctx)
	err = labhttp.NewServer(readers, p.ReadHandler()).WithBase(ctx).Serve(ctx, time.Second)
	cancel()
	if sideErr := <-side.ended; err == nil {
		err = sideErr
	}
	return err
}

// side runs the operators' server beside the readers' one; either ends the other.
type side struct {
	server *labhttp.Server
	cancel context.CancelFunc
	ended  chan error
}

func (s *side) run(ctx context.Context) {
	s.ended <- s.server.Serve(ctx, time.Second)
	s.cancel()
}

// ReadHandler answers readers.
func (p *Platform) ReadHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/keys/{key}", p.read)
	return m
}

// OperatorHandler answers operators, tests and the demo.
func (p *Platform) OperatorHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/keys/{key}", p.put)
	m.HandleFunc("POST /v1/faults", p.switchFaults)
	m.HandleFunc("GET /v1/stats", p.report)
	return m
}
