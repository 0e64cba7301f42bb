package labbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blplatform"
)

// watchBaseline is the baseline in which each daemon watches the platform itself.
type watchBaseline struct{}

func (watchBaseline) name() string { return "watch" }

func (watchBaseline) start(ctx context.Context, t *trial) (mesh, error) {
	w := &watchMesh{daemons: t.shape.daemons}
	ctx, w.cancel = context.WithCancel(ctx)
	for i := range t.shape.daemons {
		client, err := blplatform.NewClient(t.platform.url(), blplatform.WithWait(watchWait))
		if err != nil {
			w.cancel()
			return nil, fmt.Errorf("platform client: %w", err)
		}
		d := newPlatformReader(client, func(now time.Time, s *blconfig.Snapshot) { t.meter.recordApplied(i, s.Version(), now) })
		w.tasks.Go(func() { d.run(ctx) })
	}
	return w, nil
}

// watchMesh is the mesh of a watchBaseline. Its daemons exchange no bytes with each other.
type watchMesh struct {
	daemons int
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

func (w *watchMesh) settled() bool { return true }

func (w *watchMesh) traffic() []traffic { return make([]traffic, w.daemons) }

func (w *watchMesh) stop() {
	w.cancel()
	w.tasks.Wait()
}

// platformReader reads the platform as a reader of the measured system does. It passes each
// newer version to adopt.
type platformReader struct {
	client  *blplatform.Client
	values  chan basillift.Value
	adopt   func(now time.Time, s *blconfig.Snapshot)
	current *blconfig.Snapshot
	tasks   sync.WaitGroup
}

func newPlatformReader(c *blplatform.Client, adopt func(now time.Time, s *blconfig.Snapshot)) *platformReader {
	return &platformReader{client: c, values: make(chan basillift.Value, 8), adopt: adopt}
}

func (r *platformReader) run(ctx context.Context) {
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		w := &keyWatcher{reader: r, key: key}
		r.tasks.Go(func() { w.loop(ctx) })
	}
	for ctx.Err() == nil {
		select {
		case v := <-r.values:
			r.readLists(ctx, r.latestValues(v))
		case <-ctx.Done():
		}
	}
	r.tasks.Wait()
	r.client.Close()
}

// latestValues returns the newest of the received values for each key. It drains the queue, so
// that a burst takes few consistent reads.
func (r *platformReader) latestValues(first basillift.Value) []basillift.Value {
	byKey := map[string]basillift.Value{first.Key(): first}
	for len(r.values) > 0 {
		v := <-r.values
		byKey[v.Key()] = v
	}
	latest := make([]basillift.Value, 0, len(byKey))
	for _, v := range byKey {
		latest = append(latest, v)
	}
	return latest
}

func (r *platformReader) readLists(ctx context.Context, known []basillift.Value) {
	read, err := blplatform.ReadLists(ctx, r.client, known...)
	if err != nil {
		return // The next change triggers another read. If none does, the trial's wait times out.
	}
	if r.current != nil && !read.Version().NewerThan(r.current.Version()) {
		return
	}
	next, err := r.build(read.Version(), read)
	if err != nil {
		return
	}
	r.current = next
	r.adopt(time.Now(), next)
}

// keyWatcher watches one key and passes its new values to the reader.
type keyWatcher struct {
	reader *platformReader
	key    string
}

func (w *keyWatcher) loop(ctx context.Context) {
	mod := uint64(0)
	for ctx.Err() == nil {
		v, err := w.reader.client.Watch(ctx, w.key, mod)
		if err != nil {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if v.ModRevision() == mod {
			continue
		}
		mod = v.ModRevision()
		select {
		case w.reader.values <- v:
		case <-ctx.Done():
		}
	}
}
