package labbench

import (
	"context"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
)

// faults measures a drain, a crash, a replacement and the loss of a failure domain. A crash
// ends all goroutines of a daemon and closes its sockets, as the end of a process does; a
// VM that vanishes without closing them is detected by probes alone and is not measured.
func (t *trial) faults(ctx context.Context) error {
	f, ok := t.mesh.(*fleet)
	if !ok {
		return nil
	}
	victim := f.victim()
	d := f.daemons[victim]
	steps := []struct {
		name string
		act  func() error
		done func(o *daemon) bool
	}{
		{"drain", func() error { d.node.SetState(basillift.TargetDraining); return nil }, func(o *daemon) bool {
			s, found := o.node.View().Find(d.node.Self().ID())
			return found && s.Member().State() == basillift.TargetDraining
		}},
		{"crash", func() error { return f.kill(victim) }, func(o *daemon) bool { return lost(o.node.View(), f.shape.id(victim)) }},
		{"join", func() error { return f.restart(ctx, t, victim) }, func(o *daemon) bool {
			s, found := o.node.View().Find(f.shape.id(victim))
			return o.node.Ready() && found && s.Liveness() == basillift.LivenessAlive && s.Member().State() == basillift.TargetReady
		}},
		{"domain", func() error { return f.killDomain(f.shape.domain(0)) }, func(o *daemon) bool {
			return cut(o.node.View(), f.shape.domain(0))
		}},
	}
	for _, s := range steps {
		if err := t.fault(ctx, f, "event."+s.name+".", s.act, s.done); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func lost(v *blmember.View, id basillift.VMID) bool {
	s, found := v.Find(id)
	return !found || s.Liveness() == basillift.LivenessDead
}

// cut reports whether a failure domain is known to be lost: marked as cut off, or all its
// members dead.
func cut(v *blmember.View, fd basillift.FailureDomain) bool {
	for _, c := range v.Partitioned() {
		if c == fd {
			return true
		}
	}
	return len(v.Order().Domain(fd)) == 0
}

// fault measures the time until all running daemons see what happened, and the bytes up
// to 1 s after that, above those at rest.
func (t *trial) fault(ctx context.Context, f *fleet, name string, act func() error, done func(o *daemon) bool) error {
	before, begun := f.bytes(), time.Now()
	if err := act(); err != nil {
		return err
	}
	for !f.all(done) {
		if time.Since(begun) > waitLimit || !pause(ctx, 2*time.Millisecond) {
			return errWait
		}
	}
	t.set(name+"seconds", time.Since(begun).Seconds())
	pause(ctx, time.Second)
	after := f.bytes()
	rest := t.sample.figures["rest.bytes"] * time.Since(begun).Seconds()
	var running []traffic
	for i, d := range f.daemons {
		// A replaced daemon counts from zero.
		if !d.stopped && total(after[i]) >= total(before[i]) {
			running = append(running, after[i].minus(before[i]))
		}
	}
	t.set(name+"bytes", mean(running, total)-rest)
	t.set(name+"bytes.most", most(running, total))
	return nil
}

// all reports whether every running daemon fulfils a condition.
func (f *fleet) all(holds func(o *daemon) bool) bool {
	for _, d := range f.daemons {
		if !d.stopped && !holds(d) {
			return false
		}
	}
	return true
}

// victim is the last ordinary daemon, or the last daemon of a mesh without any.
func (f *fleet) victim() int {
	victim := len(f.daemons) - 1
	for i, r := range f.roles() {
		if r == roleLeaf {
			victim = i
		}
	}
	return victim
}

func (f *fleet) kill(i int) error {
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

// restart starts a daemon again under its name, as its replacement does.
func (f *fleet) restart(ctx context.Context, t *trial, i int) error {
	d, err := newDaemon(f.shape, t.platform.url(), t.meter, i, uint64(time.Now().UnixMilli()), t.options.seed+int64(i)+1)
	if err != nil {
		return err
	}
	f.daemons[i] = d
	d.start(ctx)
	return nil
}
