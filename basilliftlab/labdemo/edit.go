package labdemo

import (
	"context"
	"fmt"
	"time"
)

func (d *Demo) editEarly(ctx context.Context) error { return d.editRange(ctx, 0, earlyEdits) }

func (d *Demo) editLate(ctx context.Context) error { return d.editRange(ctx, earlyEdits, edits) }

func (d *Demo) editRange(ctx context.Context, from, to int) error {
	for n := from; n < to; n++ {
		if err := d.edit(ctx, n); err != nil {
			return fmt.Errorf("edit %d: %w", n+1, err)
		}
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

// edit makes one edit and measures on each daemon how long it takes from the
// sending of the edit until the daemon says that it is in force.
func (d *Demo) edit(ctx context.Context, n int) error {
	key := d.lists.Edit(n)
	data, err := d.lists.Encode(key)
	if err != nil {
		return err
	}
	d.eager.Store(true)
	defer d.eager.Store(false)
	// The demo is the platform's only operator, so the next revision is known.
	d.revision++
	for _, w := range d.watchers {
		w.want(d.revision)
	}
	sent := time.Now()
	if err := d.client.publish(ctx, d.mesh, key, data); err != nil {
		return err
	}
	converged, err := d.converge(ctx, n, sent)
	if err != nil {
		return err
	}
	d.oracle.Edit(d.lists, n, sent, converged)
	d.evidence.changes++
	return nil
}

// converge waits for all live daemons and returns when the last one was there. A
// daemon that takes longer than editTime is reported and not waited for.
func (d *Demo) converge(ctx context.Context, n int, sent time.Time) (time.Time, error) {
	last := sent
	for _, w := range d.watchers {
		if !w.live() {
			continue
		}
		at, ok, err := d.arrival(ctx, w, sent.Add(editTime))
		if err != nil {
			return last, err
		}
		if !ok {
			d.evidence.late = append(d.evidence.late, fmt.Sprintf("edit %d not in force at %s after %s", n+1, w.vm.name, editTime))
			at = time.Now()
		}
		took := at.Sub(sent)
		if ok && took > convergenceBound {
			d.evidence.late = append(d.evidence.late, fmt.Sprintf("edit %d in force at %s after %s", n+1, w.vm.name, took))
		}
		if err := d.evidence.convergence.RecordValue(took.Microseconds()); err != nil {
			return last, fmt.Errorf("record convergence: %w", err)
		}
		if at.After(last) {
			last = at
		}
	}
	return last, nil
}

func (d *Demo) arrival(ctx context.Context, w *Watcher, deadline time.Time) (time.Time, bool, error) {
	for {
		if at, ok := w.at(d.revision); ok {
			return at, true, nil
		}
		if time.Now().After(deadline) {
			return time.Time{}, false, nil
		}
		if err := sleep(ctx, eagerPause); err != nil {
			return time.Time{}, false, err
		}
	}
}
