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

// maxWait limits each wait for a mesh to reach a state.
const maxWait = time.Minute

var errTimeout = eris.New("timed out")

// trial measures one mesh. It is the runner of all experiments but streams and members.
type trial struct {
	options    Options
	shape      shape
	system     system
	sample     Sample
	random     *rand.Rand
	population *population
	platform   *platform
	meter      *convergenceMeter
	mesh       mesh
	progress   *progress
	withFaults bool
}

// run starts the platform and the mesh, takes all measurements and stops both.
func (t *trial) run(ctx context.Context) (Sample, error) {
	before, err := readUsage(time.Now(), true)
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
	if err := t.measureRest(ctx); err != nil {
		return t.sample, err
	}
	for _, k := range changeKinds() {
		if err := t.measureChanges(ctx, k); err != nil {
			return t.sample, fmt.Errorf("measure change %s: %w", k, err)
		}
		t.progress.step()
	}
	t.sample.loadAverage = loadAverage()
	if err := t.measureHeld(before); err != nil {
		return t.sample, err
	}
	if !t.withFaults {
		return t.sample, nil
	}
	if err := t.measureFaults(ctx); err != nil {
		return t.sample, fmt.Errorf("measure faults: %w", err)
	}
	return t.sample, nil
}

// start publishes the lists and starts all daemons at once. This is the same as a full
// restart, because no daemon finds a peer that holds a version.
func (t *trial) start(ctx context.Context) error {
	entries, err := t.population.changedEntries()
	if err != nil {
		return err
	}
	if err := t.publishVMs(ctx); err != nil {
		return err
	}
	revision, err := t.platform.writeEntries(ctx, entries)
	if err != nil {
		return err
	}
	started := time.Now()
	if t.mesh, err = t.system.start(ctx, t); err != nil {
		return err
	}
	at, err := t.waitApplied(ctx, revision)
	if err != nil {
		t.mesh.stop()
		return err
	}
	if err := t.waitSettled(ctx); err != nil {
		t.mesh.stop()
		return err
	}
	t.setFigure("restart.seconds", at.Sub(started).Seconds())
	t.setFigure("restart.settled.seconds", time.Since(started).Seconds())
	t.setFigure("restart.reads", float64(t.platform.calls.Load()))
	t.setFigure("restart.peak", float64(t.platform.peakCallsPerSecond(started)))
	t.setFigure("restart.bytes", meanOf(t.mesh.traffic(), totalBytes))
	t.setFigure("restart.bytes.most", maxOf(t.mesh.traffic(), totalBytes))
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

func (t *trial) waitApplied(ctx context.Context, revision uint64) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	at, ok := t.meter.waitApplied(limited, version(revision))
	if !ok {
		return at, fmt.Errorf("%s: wait until all daemons have applied revision %d: %w", t.shape, revision, errTimeout)
	}
	return at, nil
}

func (t *trial) waitSettled(ctx context.Context) error {
	deadline := time.Now().Add(maxWait)
	for !t.mesh.settled() {
		if time.Now().After(deadline) || !pause(ctx, 20*time.Millisecond) {
			return fmt.Errorf("%s: wait until all daemons know each other: %w", t.shape, errTimeout)
		}
	}
	return nil
}

// measureRest measures a mesh in which nothing changes.
func (t *trial) measureRest(ctx context.Context) error {
	if !pause(ctx, t.options.settleTime) {
		return fmt.Errorf("settle: %w", ctx.Err())
	}
	t.progress.step()
	before, err := readUsage(time.Now(), false)
	if err != nil {
		return err
	}
	trafficBefore, callsBefore, platformBytesBefore := t.mesh.traffic(), t.platform.calls.Load(), t.platform.bytes.Load()
	if !pause(ctx, t.options.restTime) {
		return fmt.Errorf("rest: %w", ctx.Err())
	}
	after, err := readUsage(time.Now(), false)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	transferred := differences(t.mesh.traffic(), trafficBefore)
	t.setFigure("rest.cpu", (after.cpuTime-before.cpuTime).Seconds()/seconds)
	t.setFigure("rest.cpu.each", (after.cpuTime-before.cpuTime).Seconds()/seconds/float64(t.shape.daemons))
	scale := watchWait.Seconds() / defaultWatchWait.Seconds() / seconds
	t.setFigure("rest.reads", float64(t.platform.calls.Load()-callsBefore)*scale)
	t.setFigure("rest.platform", float64(t.platform.bytes.Load()-platformBytesBefore)*scale)
	t.setFigure("rest.bytes", meanOf(transferred, totalBytes)/seconds)
	t.setFigure("rest.bytes.most", maxOf(transferred, totalBytes)/seconds)
	for _, p := range purposes() {
		t.setFigure("rest.bytes."+string(p), meanOf(transferred, func(d traffic) float64 { return d.sum(p) })/seconds)
	}
	t.setByRole("rest.bytes.", transferred, func(d traffic) float64 { return totalBytes(d) / seconds })
	t.progress.step()
	return nil
}

// measureChanges measures a number of changes of one kind. Each is written after all daemons
// have applied the previous one.
func (t *trial) measureChanges(ctx context.Context, k changeKind) error {
	count := t.options.changeCounts[k]
	distribution := newLatencies()
	stream, err := t.startDeltaStream(k)
	if err != nil {
		return err
	}
	before, err := readUsage(time.Now(), false)
	if err != nil {
		return err
	}
	trafficBefore, callsBefore, platformBytesBefore := t.mesh.traffic(), t.platform.calls.Load(), t.platform.bytes.Load()
	compressed, delivery := 0, 0.0
	for range count {
		elapsed, err := t.writeChange(ctx, k)
		if err != nil {
			return err
		}
		if err := distribution.add(elapsed.Microseconds()); err != nil {
			return err
		}
		delivery += elapsed.Seconds()
		size, err := t.deltaSize(stream)
		if err != nil {
			return err
		}
		compressed += size
	}
	pause(ctx, 100*time.Millisecond)
	after, err := readUsage(time.Now(), false)
	if err != nil {
		return err
	}
	n, prefix := float64(count), "change."+string(k)+"."
	transferred := differences(t.mesh.traffic(), trafficBefore)
	t.setFigure(prefix+"p50", distribution.milliseconds(50))
	t.setFigure(prefix+"p99", distribution.milliseconds(99))
	t.setFigure(prefix+"worst", distribution.maxMilliseconds())
	t.setFigure(prefix+"cpu", (after.cpuTime-before.cpuTime).Seconds()/n)
	t.setFigure(prefix+"reads", float64(t.platform.calls.Load()-callsBefore)/n)
	t.setFigure(prefix+"platform", float64(t.platform.bytes.Load()-platformBytesBefore)/n)
	t.setChangeBytes(prefix, transferred, n, float64(compressed)/n)
	return nil
}

func (t *trial) setChangeBytes(prefix string, transferred []traffic, count, compressed float64) {
	received := func(d traffic) float64 { return receivedConfiguration(d) / count }
	bothDirections := func(d traffic) float64 {
		return d.sum(basillift.PurposeConfiguration, basillift.PurposeRepair) / count
	}
	t.setFigure(prefix+"bytes", meanOf(transferred, received))
	t.setFigure(prefix+"bytes.most", maxOf(transferred, bothDirections))
	t.setFigure(prefix+"repair", meanOf(transferred, func(d traffic) float64 { return d.received[basillift.PurposeRepair] / count }))
	t.setByRole(prefix+"bytes.", transferred, bothDirections)
	if compressed > 0 {
		t.setFigure(prefix+"delta", compressed)
		t.setFigure(prefix+"ratio", meanOf(transferred, received)/compressed)
	}
}

// writeChange writes one change and returns the time from just before its last write to the
// platform until the last daemon has applied it.
func (t *trial) writeChange(ctx context.Context, k changeKind) (time.Duration, error) {
	// The random pause prevents changes from synchronizing with the daemons' periodic ticks.
	pause(ctx, time.Duration(t.random.Int63n(int64(30*time.Millisecond))))
	edits, err := t.population.makeChange(k)
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
	at, err := t.waitApplied(ctx, revision)
	if err != nil {
		return 0, err
	}
	return max(0, at.Sub(sent)), nil
}

// startDeltaStream returns a stream that measures the compressed size of changes. It returns
// nil for bursts and for systems whose daemons give no access to their snapshot.
func (t *trial) startDeltaStream(k changeKind) (*deltaStream, error) {
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
	return d.compressNext(s)
}

// measureHeld measures the memory, goroutines and connections that the mesh holds after all
// changes.
func (t *trial) measureHeld(before processUsage) error {
	after, err := readUsage(time.Now(), true)
	if err != nil {
		return err
	}
	t.setFigure("held.resident", after.residentBytes-before.residentBytes)
	t.setFigure("held.heap", after.heapBytes-before.heapBytes)
	t.setFigure("held.goroutines", float64(after.goroutines-before.goroutines))
	if f, ok := t.mesh.(*fleet); ok {
		t.setFigure("held.connections", f.meanConnections())
	}
	return nil
}

// setByRole sets one figure for each role that occurs in the mesh: the mean over its daemons.
func (t *trial) setByRole(prefix string, list []traffic, pick func(t traffic) float64) {
	f, ok := t.mesh.(*fleet)
	if !ok {
		return
	}
	sums, counts := map[role]float64{}, map[role]float64{}
	for i, r := range f.daemonRoles() {
		sums[r] += pick(list[i])
		counts[r]++
	}
	for _, r := range allRoles() {
		if counts[r] > 0 {
			t.setFigure(prefix+string(r), sums[r]/counts[r])
		}
	}
}

func (t *trial) setFigure(name string, value float64) { t.sample.figures[name] = value }

// pause waits for d and returns false if the context ends before.
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
