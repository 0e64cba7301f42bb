package labbench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
)

// waitLimit ends a wait that will not succeed.
const waitLimit = time.Minute

var errWait = eris.New("waited for too long")

// trial measures one mesh.
type trial struct {
	options    Options
	shape      shape
	system     system
	sample     Sample
	random     *rand.Rand
	population *population
	platform   *platform
	meter      *meter
	mesh       mesh
	progress   *progress
	withFaults bool
}

// run measures everything, from the start of the mesh to its end.
func (t *trial) run(ctx context.Context) (Sample, error) {
	before, err := usageNow(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	t.platform, err = startPlatform(ctx, t.shape.platform(), t.options.seed)
	if err != nil {
		return t.sample, err
	}
	defer t.platform.stop()
	if err := t.start(ctx); err != nil {
		return t.sample, err
	}
	defer t.mesh.stop()
	t.progress.step()
	if err := t.rest(ctx); err != nil {
		return t.sample, err
	}
	for _, k := range kinds() {
		if err := t.changes(ctx, k); err != nil {
			return t.sample, fmt.Errorf("measure change %s: %w", k, err)
		}
		t.progress.step()
	}
	t.sample.load = loadAverage()
	if err := t.held(before); err != nil {
		return t.sample, err
	}
	if !t.withFaults {
		return t.sample, nil
	}
	if err := t.faults(ctx); err != nil {
		return t.sample, fmt.Errorf("measure faults: %w", err)
	}
	return t.sample, nil
}

// start publishes the lists and starts all daemons at once, which is also what happens in
// a full restart: no daemon finds a peer that holds a version.
func (t *trial) start(ctx context.Context) error {
	entries, err := t.population.entries()
	if err != nil {
		return err
	}
	if err := t.publishVMs(ctx); err != nil {
		return err
	}
	revision, err := t.platform.write(ctx, entries)
	if err != nil {
		return err
	}
	begun := time.Now()
	if t.mesh, err = t.system.start(ctx, t); err != nil {
		return err
	}
	at, err := t.wait(ctx, revision)
	if err != nil {
		t.mesh.stop()
		return err
	}
	if err := t.waitSettled(ctx); err != nil {
		t.mesh.stop()
		return err
	}
	t.set("restart.seconds", at.Sub(begun).Seconds())
	t.set("restart.settled.seconds", time.Since(begun).Seconds())
	t.set("restart.reads", float64(t.platform.reads.Load()))
	t.set("restart.peak", float64(t.platform.peak(begun)))
	t.set("restart.bytes", mean(t.mesh.bytes(), total))
	t.set("restart.bytes.most", most(t.mesh.bytes(), total))
	return nil
}

func (t *trial) publishVMs(ctx context.Context) error {
	list := make(bllist.VMList, 0, t.shape.daemons)
	for i := range t.shape.daemons {
		m := t.shape.member(i, 1)
		list = append(list, bllist.VMEntry{
			Name: string(m.ID()), Address: m.Addresses().Control(), Service: m.Service(),
			Domain: string(m.Place().FailureDomain()), Region: string(m.Place().Region()), State: "live",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode VM list: %w", err)
	}
	if _, err := t.platform.put(ctx, basillift.KeyVMs, data); err != nil {
		return err
	}
	return nil
}

func (t *trial) wait(ctx context.Context, revision uint64) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	at, ok := t.meter.wait(limited, version(revision))
	if !ok {
		return at, fmt.Errorf("%s: revision %d in force everywhere: %w", t.shape, revision, errWait)
	}
	return at, nil
}

func (t *trial) waitSettled(ctx context.Context) error {
	deadline := time.Now().Add(waitLimit)
	for !t.mesh.settled() {
		if time.Now().After(deadline) || !pause(ctx, 20*time.Millisecond) {
			return fmt.Errorf("%s: all daemons know each other: %w", t.shape, errWait)
		}
	}
	return nil
}

// rest measures a mesh in which nothing changes.
func (t *trial) rest(ctx context.Context) error {
	if !pause(ctx, t.options.settle) {
		return fmt.Errorf("settle: %w", ctx.Err())
	}
	t.progress.step()
	before, err := usageNow(time.Now(), false)
	if err != nil {
		return err
	}
	bytes, reads, outside := t.mesh.bytes(), t.platform.reads.Load(), t.platform.bytes.Load()
	if !pause(ctx, t.options.rest) {
		return fmt.Errorf("rest: %w", ctx.Err())
	}
	after, err := usageNow(time.Now(), false)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	difference := differences(t.mesh.bytes(), bytes)
	t.set("rest.cpu", (after.processor-before.processor).Seconds()/seconds)
	t.set("rest.cpu.each", (after.processor-before.processor).Seconds()/seconds/float64(t.shape.daemons))
	scale := watchWait.Seconds() / watchDefault.Seconds() / seconds
	t.set("rest.reads", float64(t.platform.reads.Load()-reads)*scale)
	t.set("rest.platform", float64(t.platform.bytes.Load()-outside)*scale)
	t.set("rest.bytes", mean(difference, total)/seconds)
	t.set("rest.bytes.most", most(difference, total)/seconds)
	for _, p := range purposes() {
		t.set("rest.bytes."+string(p), mean(difference, func(d traffic) float64 { return d.both(p) })/seconds)
	}
	t.byRole("rest.bytes.", difference, func(d traffic) float64 { return total(d) / seconds })
	t.progress.step()
	return nil
}

// changes measures a number of changes of one kind, each after the one before is in force.
func (t *trial) changes(ctx context.Context, k kind) error {
	count := t.options.changes[k]
	spread := newLatencies()
	stream, err := t.stream(k)
	if err != nil {
		return err
	}
	before, err := usageNow(time.Now(), false)
	if err != nil {
		return err
	}
	bytes, reads, outside := t.mesh.bytes(), t.platform.reads.Load(), t.platform.bytes.Load()
	compressed, delivery := 0, 0.0
	for range count {
		took, err := t.change(ctx, k)
		if err != nil {
			return err
		}
		if err := spread.add(took.Microseconds()); err != nil {
			return err
		}
		delivery += took.Seconds()
		size, err := t.deltaSize(stream)
		if err != nil {
			return err
		}
		compressed += size
	}
	pause(ctx, 100*time.Millisecond)
	after, err := usageNow(time.Now(), false)
	if err != nil {
		return err
	}
	n, name := float64(count), "change."+string(k)+"."
	difference := differences(t.mesh.bytes(), bytes)
	t.set(name+"p50", spread.milliseconds(50))
	t.set(name+"p99", spread.milliseconds(99))
	t.set(name+"worst", spread.worst())
	t.set(name+"cpu", (after.processor-before.processor).Seconds()/n)
	t.set(name+"reads", float64(t.platform.reads.Load()-reads)/n)
	t.set(name+"platform", float64(t.platform.bytes.Load()-outside)/n)
	t.changeBytes(name, difference, n, float64(compressed)/n)
	return nil
}

func (t *trial) changeBytes(name string, difference []traffic, count, compressed float64) {
	one := func(d traffic) float64 { return received(d) / count }
	both := func(d traffic) float64 {
		return d.both(basillift.PurposeConfiguration, basillift.PurposeRepair) / count
	}
	t.set(name+"bytes", mean(difference, one))
	t.set(name+"bytes.most", most(difference, both))
	t.set(name+"repair", mean(difference, func(d traffic) float64 { return d.received[basillift.PurposeRepair] / count }))
	t.byRole(name+"bytes.", difference, both)
	if compressed > 0 {
		t.set(name+"delta", compressed)
		t.set(name+"ratio", mean(difference, one)/compressed)
	}
}

// change writes one change and returns the time from just before its last write was sent to
// the platform until the last daemon had it in force.
func (t *trial) change(ctx context.Context, k kind) (time.Duration, error) {
	// The pause keeps changes from falling into step with the daemons' ticks.
	pause(ctx, time.Duration(t.random.Int63n(int64(30*time.Millisecond))))
	edits, err := t.population.writes(k)
	if err != nil {
		return 0, err
	}
	var sent time.Time
	revision := uint64(0)
	for _, entries := range edits {
		for _, e := range entries {
			sent = time.Now()
			if revision, err = t.platform.put(ctx, e.Key(), e.Data()); err != nil {
				return 0, err
			}
		}
	}
	at, err := t.wait(ctx, revision)
	if err != nil {
		return 0, err
	}
	return max(0, at.Sub(sent)), nil
}

// stream returns the stream that gives the compressed size of changes, where a daemon's
// snapshot is at hand.
func (t *trial) stream(k kind) (*deltaStream, error) {
	s, ok := t.snapshot()
	if !ok || k == changeBurst {
		return nil, nil //nolint:nilnil // no stream means that sizes are not measured
	}
	return newDeltaStream(s)
}

func (t *trial) snapshot() (*blconfig.Snapshot, bool) {
	f, ok := t.mesh.(*fleet)
	if !ok {
		return nil, false
	}
	c, ok := f.daemons[0].node.Current()
	if !ok {
		return nil, false
	}
	s, ok := c.(*blconfig.Snapshot)
	return s, ok
}

func (t *trial) deltaSize(d *deltaStream) (int, error) {
	if d == nil {
		return 0, nil
	}
	s, ok := t.snapshot()
	if !ok {
		return 0, fmt.Errorf("measure delta: %w", errNoSnapshot)
	}
	return d.add(s)
}

// held measures what the mesh holds at its end.
func (t *trial) held(before usage) error {
	after, err := usageNow(time.Now(), true)
	if err != nil {
		return err
	}
	t.set("held.resident", after.resident-before.resident)
	t.set("held.heap", after.heap-before.heap)
	t.set("held.goroutines", float64(after.goroutines-before.goroutines))
	if f, ok := t.mesh.(*fleet); ok {
		t.set("held.connections", f.connections())
	}
	return nil
}

func (t *trial) byRole(prefix string, list []traffic, pick func(t traffic) float64) {
	f, ok := t.mesh.(*fleet)
	if !ok {
		return
	}
	sums, counts := map[role]float64{}, map[role]float64{}
	for i, r := range f.roles() {
		sums[r] += pick(list[i])
		counts[r]++
	}
	for _, r := range roles() {
		if counts[r] > 0 {
			t.set(prefix+string(r), sums[r]/counts[r])
		}
	}
}

func (t *trial) set(name string, value float64) { t.sample.figures[name] = value }

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
