package labload

import (
	"context"
	"sync"
	"time"
)

// maximumFlights bounds the calls in flight, so that a stalled mesh does not
// take the machine's memory.
const maximumFlights = 8192

// Observer gets one result for each attempt, from many goroutines.
type Observer interface {
	Observe(r Result)
}

// Generator sends planned calls at their intended times.
type Generator struct {
	client   *Client
	observer Observer
	flights  chan struct{}
	wait     sync.WaitGroup

	lock    sync.Mutex
	planner *Planner
}

// NewGenerator returns a generator that plans its first call from now on.
func NewGenerator(o Options, observer Observer, now time.Time) *Generator {
	return &Generator{
		client:   NewClient(o.timeout, o.upload, o.seed),
		observer: observer,
		flights:  make(chan struct{}, maximumFlights),
		planner:  NewPlanner(now, o),
	}
}

// Remove takes a daemon's address away from later calls.
func (g *Generator) Remove(address string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.planner.Remove(address)
}

// Run sends until ctx ends and returns when the calls in flight have ended.
func (g *Generator) Run(ctx context.Context) {
	defer g.client.Close()
	defer g.wait.Wait()
	for {
		c := g.next()
		if !sleepUntil(ctx, c.intended) {
			return
		}
		g.send(ctx, c)
	}
}

// Long sends a call outside the usual course that takes a certain work time, so
// that it surely is in flight at a daemon for a while. Run must not have ended.
func (g *Generator) Long(ctx context.Context, address, customer, service string, work time.Duration) {
	g.lock.Lock()
	c := g.planner.Long(time.Now(), address, customer, service, work)
	g.lock.Unlock()
	g.send(ctx, c)
}

func (g *Generator) next() Call {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.planner.Next()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Generator) send(ctx context.Context, c Call) {
	select {
	case g.flights <- struct{}{}:
	default:
		g.observer.Observe(Result{call: c, verdict: VerdictSkipped, ended: time.Now()})
		return
	}
	g.wait.Add(1)
	// The end of the load ends no call.
	go (&flight{generator: g, call: c}).run(context.WithoutCancel(ctx))
}

// flight is one call in flight, with its repeat.
type flight struct {
	generator *Generator
	call      Call
}

func (f *flight) run(ctx context.Context) {
	g := f.generator
	defer g.wait.Done()
	g.observer.Observe(g.client.Do(ctx, f.call))
	if again, ok := g.again(f.call); ok {
		g.observer.Observe(g.client.Do(ctx, again))
	}
	<-g.flights
}

func (g *Generator) again(c Call) (Call, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.planner.Repeats(c) {
		return Call{}, false
	}
	address := g.planner.Address()
	return c.Again(time.Now(), address), address != ""
}
