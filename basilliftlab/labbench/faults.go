package labbench

import (
	"context"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
)

// measureFaults measures a drain, a crash, a replacement and the loss of a failure domain. A
// crash ends all goroutines of a daemon and closes its sockets, as the end of a process does.
// A VM that vanishes without closing them is detected by probes alone and is not measured.
func (t *trial) measureFaults(ctx context.Context) error {
	f, ok := t.mesh.(*fleet)
	if !ok {
		return nil
	}
	victim := f.victim()
	d := f.daemons[victim]
	steps := []struct {
		name     string
		inject   func() error
		observed func(o *daemon) bool
	}{
		{"drain", func() error { d.node.SetState(basillift.TargetDraining); return nil }, func(o *daemon) bool {
			s, found := o.node.View().Find(d.node.Self().ID())
			return found && s.Member().State() == basillift.TargetDraining
		}},
		{"crash", func() error { return f.killDaemon(victim) }, func(o *daemon) bool { return knownDead(o.node.View(), f.shape.id(victim)) }},
		{"join", func() error { return f.replaceDaemon(ctx, t, victim) }, func(o *daemon) bool {
			s, found := o.node.View().Find(f.shape.id(victim))
			return o.node.Ready() && found && s.Liveness() == basillift.LivenessAlive && s.Member().State() == basillift.TargetReady
		}},
		{"domain", func() error { return f.killDomain(f.shape.domain(0)) }, func(o *daemon) bool {
			return knownLost(o.node.View(), f.shape.domain(0))
		}},
	}
	for _, s := range steps {
		if err := t.measureFault(ctx, f, "event."+s.name+".", s.inject, s.observed); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// knownDead reports whether a member is dead or unknown in a view.
func knownDead(v *blmember.View, id basillift.VMID) bool {
	s, found := v.Find(id)
	return !found || s.Liveness() == basillift.LivenessDead
}

// knownLost reports whether a failure domain is lost in a view: it is marked as cut off, or
// all its members are dead.
func knownLost(v *blmember.View, fd basillift.FailureDomain) bool {
	for _, p := range v.Partitioned() {
		if p == fd {
			return true
		}
	}
	return len(v.Order().Domain(fd)) == 0
}

// measureFault injects a fault and measures the time until all running daemons have observed
// it. It also measures the bytes that each daemon sends and receives until 1 s after that. Only
// their mean is reduced by the bytes at rest.
func (t *trial) measureFault(ctx context.Context, f *fleet, prefix string, inject func() error, observed func(o *daemon) bool) error {
	before, started := f.traffic(), time.Now()
	if err := inject(); err != nil {
		return err
	}
	for !f.allRunning(observed) {
		if time.Since(started) > maxWait || !pause(ctx, 2*time.Millisecond) {
			return errTimeout
		}
	}
	t.setFigure(prefix+"seconds", time.Since(started).Seconds())
	pause(ctx, time.Second)
	after := f.traffic()
	restBytes := t.sample.figures["rest.bytes"] * time.Since(started).Seconds()
	var running []traffic
	for i, d := range f.daemons {
		// A replaced daemon is skipped if its counters, which start at zero, are lower than
		// those of the daemon before it.
		if !d.stopped && totalBytes(after[i]) >= totalBytes(before[i]) {
			running = append(running, after[i].minus(before[i]))
		}
	}
	t.setFigure(prefix+"bytes", meanOf(running, totalBytes)-restBytes)
	t.setFigure(prefix+"bytes.most", maxOf(running, totalBytes))
	return nil
}

// allRunning reports whether every running daemon fulfils a condition.
func (f *fleet) allRunning(condition func(o *daemon) bool) bool {
	for _, d := range f.daemons {
		if !d.stopped && !condition(d) {
			return false
		}
	}
	return true
}

// victim returns the index of the last ordinary daemon, or of the last daemon if there is none.
func (f *fleet) victim() int {
	victim := len(f.daemons) - 1
	for i, r := range f.daemonRoles() {
		if r == roleOrdinary {
			victim = i
		}
	}
	return victim
}

func (f *fleet) killDaemon(i int) error {
	d := f.daemons[i]
	d.stopped = true
	d.cancel()
	d.wait()
	return d.err
}

func (f *fleet) killDomain(fd basillift.FailureDomain) error {
	var first error
	for i, d := range f.daemons {
		if f.shape.domain(i) == fd {
			d.stopped = true
			d.cancel()
		}
	}
	for _, d := range f.daemons {
		if d.stopped {
			d.wait()
		}
	}
	return first
}

// replaceDaemon starts a new daemon under the name of a stopped one, as the replacement of a VM
// does.
func (f *fleet) replaceDaemon(ctx context.Context, t *trial, i int) error {
	d, err := newDaemon(f.shape, t.platform.url(), t.meter, i, uint64(time.Now().UnixMilli()), t.options.seed+int64(i)+1)
	if err != nil {
		return err
	}
	f.daemons[i] = d
	d.start(ctx)
	return nil
}
