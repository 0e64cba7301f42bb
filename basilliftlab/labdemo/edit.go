package labdemo

import (
	"context"
	"fmt"
	"time"
)

func (d *Demo) editBeforeFaults(ctx context.Context) error {
	return d.editRange(ctx, 0, editsBeforeFaults)
}

func (d *Demo) editAfterFaults(ctx context.Context) error {
	return d.editRange(ctx, editsBeforeFaults, totalEdits)
}

func (d *Demo) editRange(ctx context.Context, from, to int) error {
	for n := from; n < to; n++ {
		if err := d.edit(ctx, n); err != nil {
			return fmt.Errorf("edit %d: %w", n+1, err)
		}
		if err := sleep(ctx, settleDelay); err != nil {
			return err
		}
	}
	return nil
}

// edit publishes one edit and measures, for each daemon, the time from sending the edit
// until the daemon reports it in force.
func (d *Demo) edit(ctx context.Context, n int) error {
	key := d.lists.ApplyEdit(n)
	data, err := d.lists.Encode(key)
	if err != nil {
		return err
	}
	d.fastPolling.Store(true)
	defer d.fastPolling.Store(false)
	// The demo is the only operator that writes to the platform, so the next revision is known.
	d.platformRevision++
	for _, w := range d.watchers {
		w.expect(d.platformRevision)
	}
	sent := time.Now()
	if err := d.client.publish(ctx, d.mesh, key, data); err != nil {
		return err
	}
	converged, err := d.awaitConvergence(ctx, n, sent)
	if err != nil {
		return err
	}
	d.oracle.RecordEdit(d.lists, n, sent, converged)
	d.evidence.editCount++
	return nil
}

// awaitConvergence waits until an edit is in force at all running daemons and returns the
// time of the last one. A daemon that takes longer than editTimeout is reported and no
// longer waited for.
func (d *Demo) awaitConvergence(ctx context.Context, n int, sent time.Time) (time.Time, error) {
	last := sent
	for _, w := range d.watchers {
		if !w.running() {
			continue
		}
		at, ok, err := d.awaitRevision(ctx, w, sent.Add(editTimeout))
		if err != nil {
			return last, err
		}
		if !ok {
			d.evidence.lateEdits = append(d.evidence.lateEdits, fmt.Sprintf("edit %d not in force at %s after %s", n+1, w.vm.name, editTimeout))
			at = time.Now()
		}
		elapsed := at.Sub(sent)
		if ok && elapsed > maxConvergence {
			d.evidence.lateEdits = append(d.evidence.lateEdits, fmt.Sprintf("edit %d in force at %s after %s", n+1, w.vm.name, elapsed))
		}
		if err := d.evidence.convergence.RecordValue(elapsed.Microseconds()); err != nil {
			return last, fmt.Errorf("record convergence: %w", err)
		}
		if at.After(last) {
			last = at
		}
	}
	return last, nil
}

// awaitRevision waits until a daemon reports the platform's revision or a later one, and
// returns when it did; false means that the deadline passed.
func (d *Demo) awaitRevision(ctx context.Context, w *Watcher, deadline time.Time) (time.Time, bool, error) {
	for {
		if at, ok := w.reachedAt(d.platformRevision); ok {
			return at, true, nil
		}
		if time.Now().After(deadline) {
			return time.Time{}, false, nil
		}
		if err := sleep(ctx, fastPollInterval); err != nil {
			return time.Time{}, false, err
		}
	}
}
