package labdemo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The VMs of the faults differ, and each service keeps other servers.
func (d *Demo) drained() VM { return d.mesh.servers(0)[0] }
func (d *Demo) killed() VM  { return d.mesh.servers(0)[1] }
func (d *Demo) stopped() VM { return d.mesh.servers(1)[1] }

// occupy sends long calls through a VM's daemon and, through the other daemons,
// to its service, and returns while they are in flight.
func (d *Demo) occupy(ctx context.Context, v VM) error {
	others := d.mesh.VMs()
	for n := range longCalls {
		other := others[n%len(others)]
		d.load.generator.Long(ctx, v.caller(), customerFull, v.service, longWork)
		if w := d.watcher(other); other != v && w.live() {
			d.load.generator.Long(ctx, other.caller(), customerFull, v.service, longWork)
		}
	}
	return sleep(ctx, longLead)
}

// drain drains one target and lets the callers go on.
func (d *Demo) drain(ctx context.Context) error {
	before, err := d.client.target(ctx, d.drained())
	if err != nil {
		return err
	}
	if err := d.occupy(ctx, d.drained()); err != nil {
		return err
	}
	if _, err := d.client.do(ctx, http.MethodPost, d.drained().admin(), "/drain", nil); err != nil {
		return err
	}
	d.evidence.drainAt = time.Now()
	d.evidence.drainBefore = before.Started
	return sleep(ctx, faultTime)
}

// killDaemon kills one daemon. Its callers lose their daemon too, so no further
// call is sent there.
func (d *Demo) killDaemon(ctx context.Context) error {
	v := d.killed()
	if err := errors.Join(d.countBytes(ctx, v), d.occupy(ctx, v)); err != nil {
		return err
	}
	d.watcher(v).end()
	d.evidence.kill = Kill{caller: v.caller(), at: time.Now()}
	p := d.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	d.load.generator.Remove(v.caller())
	if !p.wait() {
		return fmt.Errorf("kill %s: %w", v.name, ErrExited)
	}
	return sleep(ctx, faultTime)
}

// stopDaemon stops one daemon as for a planned restart. Calls go on until the
// process has ended: each must be answered, refused or find no listener.
func (d *Demo) stopDaemon(ctx context.Context) error {
	v := d.stopped()
	if err := errors.Join(d.countBytes(ctx, v), d.occupy(ctx, v)); err != nil {
		return err
	}
	d.watcher(v).end()
	d.evidence.stopCaller, d.evidence.stopAt = v.caller(), time.Now()
	p := d.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := p.wait()
	d.evidence.stopTook = time.Since(d.evidence.stopAt)
	d.load.generator.Remove(v.caller())
	switch {
	case !ended:
		d.evidence.unclean = append(d.evidence.unclean, fmt.Sprintf("%s ran on for %s after SIGTERM", v.name, stopTime))
	case p.code() != 0:
		d.evidence.unclean = append(d.evidence.unclean, fmt.Sprintf("%s ended with %s after SIGTERM", v.name, p.command.ProcessState))
	}
	return sleep(ctx, faultTime)
}

func (d *Demo) watcher(v VM) *Watcher {
	for _, w := range d.watchers {
		if w.vm == v {
			return w
		}
	}
	return nil
}

// countBytes keeps a daemon's control bytes, as its counters end with it.
func (d *Demo) countBytes(ctx context.Context, v VM) error {
	sum, err := d.client.controlBytes(ctx, v)
	if err != nil {
		return err
	}
	d.bytes[v.name] = sum
	return nil
}

// collect reads the counts of all processes after the last call has ended.
func (d *Demo) collect(ctx context.Context) error {
	e := &d.evidence
	var errs []error
	for _, w := range d.watchers {
		e.back = append(e.back, w.steps()...)
		if w.live() {
			errs = append(errs, d.countBytes(ctx, w.vm))
		}
	}
	for _, n := range d.bytes {
		e.controlBytes += n
	}
	drained, err := d.client.target(ctx, d.drained())
	errs = append(errs, err)
	e.drainLast = time.UnixMilli(drained.Last)
	stats, err := d.client.platform(ctx, d.mesh)
	errs = append(errs, err)
	e.platformReads = stats.Reads + stats.Watches
	e.platformRefused = stats.Refused
	runs, dropped, err := d.client.runs(ctx, d.mesh.VMs())
	errs = append(errs, err)
	e.dropped = dropped
	results := d.ledger.Results()
	e.counts = Count(results, e.kill)
	e.rights = CheckRights(results, d.oracle)
	e.runs = CheckRuns(results, runs)
	e.drainCut = interrupted(results, runs, e.drainAt, e.drainAt.Add(faultTime))
	e.stopFlying = flying(results, e.stopCaller, e.stopAt)
	e.stopCut = interrupted(results, runs, e.stopAt, e.stopAt.Add(e.stopTook+faultTime))
	e.withoutOwners = withoutOwners(results, runs)
	e.loads = d.ledger.tally.Table()
	return errors.Join(errs...)
}
