package blforwarder

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"basillift.dev/basillift/blpool"
)

const (
	// maxCrashProbes is how many connections to the target are opened to find out whether it has crashed.
	maxCrashProbes = 2
	// crashProbeDelay is how long a new connection must stay open. A process that ends closes its sockets one after the
	// other, so it may still accept a connection.
	crashProbeDelay = 2 * time.Millisecond
)

// targetRun is a request at the VM's own target.
type targetRun struct {
	// crashed is set once a crash of the target was recorded during the run.
	crashed bool
}

// crashDetector detects that the VM's own target has crashed, and keeps which requests ran there. A target may also break off
// a request deliberately, or reset a connection; it has crashed only if it refuses new connections too.
type crashDetector struct {
	pool  *blpool.Pool
	mutex sync.Mutex
	runs  map[*targetRun]struct{}
	// probing is closed when the pending probe has ended; nil if there is none.
	probing chan struct{}
}

func newCrashDetector(pool *blpool.Pool) *crashDetector {
	return &crashDetector{pool: pool, runs: make(map[*targetRun]struct{})}
}

// start records that a request is being sent to the target.
func (c *crashDetector) start(run *targetRun) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[run] = struct{}{}
}

// end records that a request is no longer at the target.
func (c *crashDetector) end(run *targetRun) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.runs, run)
}

// detect is called when the target broke off a run that has not ended yet. It returns all runs that a crash has ended,
// or none if the target did not crash. Each crash is returned once; the calls for the other runs that it ended return
// none after that.
func (c *crashDetector) detect(run *targetRun) []*targetRun {
	probing, first := c.startProbe(run)
	if !first {
		if probing != nil {
			<-probing
		}
		return nil
	}
	refused := c.targetRefusesConnections()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.probing)
	c.probing = nil
	if !refused {
		return nil
	}
	var ended []*targetRun
	for each := range c.runs {
		if !each.crashed {
			each.crashed = true
			ended = append(ended, each)
		}
	}
	return ended
}

// startProbe returns true if the calling goroutine has to probe the target. Otherwise it returns the channel of the pending
// probe, or nil if the crash that ended the run is known already.
func (c *crashDetector) startProbe(run *targetRun) (probing <-chan struct{}, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case run.crashed:
		return nil, false
	case c.probing != nil:
		return c.probing, false
	}
	c.probing = make(chan struct{})
	return c.probing, true
}

// targetRefusesConnections opens connections to the target. One that stays open is kept for the next request.
func (c *crashDetector) targetRefusesConnections() bool {
	for range maxCrashProbes {
		now := time.Now()
		conn, err := c.pool.Open(now, now.Add(connectTimeout))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		time.Sleep(crashProbeDelay)
		if conn.Usable() {
			c.pool.Put(time.Now(), conn)
			return false
		}
		c.pool.Discard(conn)
	}
	return false
}
