package labdemo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Each fault affects a different VM, and each service keeps servers without a fault.
func (d *Demo) drainedVM() VM { return d.mesh.serviceVMs(0)[0] }
func (d *Demo) killedVM() VM  { return d.mesh.serviceVMs(0)[1] }
func (d *Demo) stoppedVM() VM { return d.mesh.serviceVMs(1)[1] }

// startLongCalls sends long calls through a VM's daemon, and more of them to the VM's
// service through other daemons. It returns while they are in flight.
func (d *Demo) startLongCalls(ctx context.Context, v VM) error {
	others := d.mesh.VMs()
	for n := range longCallCount {
		other := others[n%len(others)]
		d.load.generator.SendLong(ctx, v.callerAddress(), customerFull, v.service, longCallWork)
		if w := d.watcherOf(other); other != v && w.running() {
			d.load.generator.SendLong(ctx, other.callerAddress(), customerFull, v.service, longCallWork)
		}
	}
	return sleep(ctx, longCallLead)
}

// drainTarget drains one target while the callers keep sending.
func (d *Demo) drainTarget(ctx context.Context) error {
	before, err := d.client.targetStats(ctx, d.drainedVM())
	if err != nil {
		return err
	}
	if err := d.startLongCalls(ctx, d.drainedVM()); err != nil {
		return err
	}
	if _, err := d.client.do(ctx, http.MethodPost, d.drainedVM().adminAddress(), "/drain", nil); err != nil {
		return err
	}
	d.evidence.drainedAt = time.Now()
	d.evidence.startsBeforeDrain = before.Started
	return sleep(ctx, faultDetectionWait)
}

// killDaemon kills one daemon with SIGKILL. No further calls are sent to it, because its
// callers have no other daemon.
func (d *Demo) killDaemon(ctx context.Context) error {
	v := d.killedVM()
	if err := errors.Join(d.saveControlBytes(ctx, v), d.startLongCalls(ctx, v)); err != nil {
		return err
	}
	d.watcherOf(v).markStopped()
	d.evidence.kill = Kill{callerAddress: v.callerAddress(), killedAt: time.Now()}
	p := d.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	d.load.generator.Remove(v.callerAddress())
	if !p.awaitEnd() {
		return fmt.Errorf("kill %s: %w", v.name, ErrProcessEnd)
	}
	return sleep(ctx, faultDetectionWait)
}

// stopDaemon stops one daemon with SIGTERM, as for a planned restart. Calls are sent to it
// until the process has ended; each must be answered, refused or fail to connect.
func (d *Demo) stopDaemon(ctx context.Context) error {
	v := d.stoppedVM()
	if err := errors.Join(d.saveControlBytes(ctx, v), d.startLongCalls(ctx, v)); err != nil {
		return err
	}
	d.watcherOf(v).markStopped()
	d.evidence.stoppedCallerAddress, d.evidence.stoppedAt = v.callerAddress(), time.Now()
	p := d.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	inTime := p.awaitEnd()
	d.evidence.stopDuration = time.Since(d.evidence.stoppedAt)
	d.load.generator.Remove(v.callerAddress())
	switch {
	case !inTime:
		d.evidence.uncleanExits = append(d.evidence.uncleanExits, fmt.Sprintf("%s was still running %s after SIGTERM", v.name, stopTimeout))
	case p.exitCode() != 0:
		d.evidence.uncleanExits = append(d.evidence.uncleanExits, fmt.Sprintf("%s ended with %s after SIGTERM", v.name, p.command.ProcessState))
	}
	return sleep(ctx, faultDetectionWait)
}

func (d *Demo) watcherOf(v VM) *Watcher {
	for _, w := range d.watchers {
		if w.vm == v {
			return w
		}
	}
	return nil
}

// saveControlBytes stores a daemon's control bytes, because its counters are lost when it
// ends.
func (d *Demo) saveControlBytes(ctx context.Context, v VM) error {
	sum, err := d.client.controlBytes(ctx, v)
	if err != nil {
		return err
	}
	d.controlBytes[v.name] = sum
	return nil
}

// collectEvidence reads the counters of all processes. It must be called after the last
// call has ended.
func (d *Demo) collectEvidence(ctx context.Context) error {
	e := &d.evidence
	var errs []error
	for _, w := range d.watchers {
		e.versionRegressions = append(e.versionRegressions, w.versionRegressions()...)
		if w.running() {
			errs = append(errs, d.saveControlBytes(ctx, w.vm))
		}
	}
	for _, n := range d.controlBytes {
		e.controlBytes += n
	}
	drained, err := d.client.targetStats(ctx, d.drainedVM())
	errs = append(errs, err)
	e.lastStartAtDrained = time.UnixMilli(drained.LastStartMillis)
	stats, err := d.client.platformStats(ctx, d.mesh)
	errs = append(errs, err)
	e.platformReads = stats.Reads + stats.Watches
	e.refusedReads = stats.Refused
	runs, dropped, err := d.client.runCounts(ctx, d.mesh.VMs())
	errs = append(errs, err)
	e.droppedRuns = dropped
	results := d.results.Results()
	e.verdicts = CountVerdicts(results, e.kill)
	e.permissions = CheckPermissions(results, d.oracle)
	e.runs = CheckRuns(results, runs)
	e.interruptedByDrain = interruptedCalls(results, runs, e.drainedAt, e.drainedAt.Add(faultDetectionWait))
	e.inFlightAtStop = countInFlight(results, e.stoppedCallerAddress, e.stoppedAt)
	e.interruptedByStop = interruptedCalls(results, runs, e.stoppedAt, e.stoppedAt.Add(e.stopDuration+faultDetectionWait))
	e.callsWithoutOwners = countWithoutOwners(results, runs)
	e.loadTable = d.results.tally.Table()
	return errors.Join(errs...)
}
