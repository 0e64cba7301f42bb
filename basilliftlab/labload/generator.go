package labload

import (
	"context"
	"sync"
	"time"
)

// maxCallsInFlight limits the calls in flight, so that a stalled mesh does not
// exhaust the machine's memory.
const maxCallsInFlight = 8192

// Observer receives one result for each call and each repeat. Its method is called
// from many goroutines.
type Observer interface {
	Observe(r Result)
}

// Generator sends planned calls at their intended times.
type Generator struct {
	client   *Client
	observer Observer
	inFlight chan struct{}
	running  sync.WaitGroup

	mutex   sync.Mutex
	planner *Planner
}

// NewGenerator returns a generator whose intended times begin at now.
func NewGenerator(o Options, observer Observer, now time.Time) *Generator {
	return &Generator{
		client:   NewClient(o.timeout, o.uploadBytes, o.seed),
		observer: observer,
		inFlight: make(chan struct{}, maxCallsInFlight),
		planner:  NewPlanner(now, o),
	}
}

// Remove excludes a daemon's address from later calls.
func (g *Generator) Remove(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.planner.Remove(address)
}

// Run sends calls until ctx ends and returns when the calls in flight have ended.
func (g *Generator) Run(ctx context.Context) {
	defer g.client.Close()
	defer g.running.Wait()
	for {
		c := g.nextCall()
		if !sleepUntil(ctx, c.intended) {
			return
		}
		g.send(ctx, c)
	}
}

// SendLong sends a call in addition to the scheduled ones. The call requests an extra
// work time, so that it stays in flight at a daemon for a while. Run must not have
// ended.
func (g *Generator) SendLong(ctx context.Context, address, customer, service string, extraWork time.Duration) {
	g.mutex.Lock()
	c := g.planner.LongCall(time.Now(), address, customer, service, extraWork)
	g.mutex.Unlock()
	g.send(ctx, c)
}

func (g *Generator) nextCall() Call {
	g.mutex.Lock()
	defer g.mutex.Unlock()
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
	case g.inFlight <- struct{}{}:
	default:
		g.observer.Observe(Result{call: c, verdict: VerdictSkipped, ended: time.Now()})
		return
	}
	g.running.Add(1)
	// Calls in flight are not canceled when the generator stops.
	go (&callInFlight{generator: g, call: c}).run(context.WithoutCancel(ctx))
}

// callInFlight sends one call and, if one is planned, its repeat.
type callInFlight struct {
	generator *Generator
	call      Call
}

func (c *callInFlight) run(ctx context.Context) {
	g := c.generator
	defer g.running.Done()
	g.observer.Observe(g.client.Do(ctx, c.call))
	if repeat, ok := g.planRepeat(c.call); ok {
		g.observer.Observe(g.client.Do(ctx, repeat))
	}
	<-g.inFlight
}

func (g *Generator) planRepeat(c Call) (Call, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.planner.ShouldRepeat(c) {
		return Call{}, false
	}
	address := g.planner.RandomAddress()
	return c.AsRepeat(time.Now(), address), address != ""
}
