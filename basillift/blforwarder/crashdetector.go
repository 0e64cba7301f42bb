package blforwarder

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/bltable"
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
	fingerprint func() blquarantine.Fingerprint
	accepted    *acceptedRequest
	// crashed is set once a crash of the target was recorded during the run.
	crashed bool
}

func newTargetRun(r *request, accepted *acceptedRequest) *targetRun {
	return &targetRun{fingerprint: fingerprintOf(r), accepted: accepted}
}

// fingerprintOf returns a function that computes the fingerprint of a request at its first call. Of a body that is streamed
// the fingerprint covers the part in memory.
func fingerprintOf(r *request) func() blquarantine.Fingerprint {
	return sync.OnceValue(func() blquarantine.Fingerprint {
		return blquarantine.NewFingerprint("", bltable.NormalizeHost(r.host), r.method, r.uri, r.body)
	})
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

// fingerprints returns those of all requests at the target.
func (c *crashDetector) fingerprints() []blquarantine.Fingerprint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	all := make([]blquarantine.Fingerprint, 0, len(c.runs))
	for run := range c.runs {
		all = append(all, run.fingerprint())
	}
	return all
}

// detect is called when the target broke off a run that has not ended yet. If the target has crashed, record is called with
// all runs that the crash has ended, once for each crash. detect returns after record, also for the other runs that it ended.
func (c *crashDetector) detect(run *targetRun, record func(ended []*targetRun)) {
	probing, first := c.startProbe(run)
	if !first {
		<-probing
		return
	}
	if c.targetRefusesConnections() {
		record(c.markCrashed())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.probing)
	c.probing = nil
}

// markCrashed marks all runs at the target as ended by a crash and returns them.
func (c *crashDetector) markCrashed() []*targetRun {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ended []*targetRun
	for run := range c.runs {
		if !run.crashed {
			run.crashed = true
			ended = append(ended, run)
		}
	}
	return ended
}

// startProbe returns true if the calling goroutine has to probe the target. Otherwise it returns a channel that is closed when
// it is known whether the target has crashed.
func (c *crashDetector) startProbe(run *targetRun) (probing <-chan struct{}, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.probing != nil:
		return c.probing, false
	case run.crashed:
		known := make(chan struct{})
		close(known)
		return known, false
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
