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

// watching is the baseline in which each daemon watches the platform itself.
type watching struct{}

func (watching) name() string { return "watch" }

func (watching) start(ctx context.Context, t *trial) (mesh, error) {
	w := &watchers{daemons: t.shape.daemons}
	ctx, w.cancel = context.WithCancel(ctx)
	for i := range t.shape.daemons {
		client, err := blplatform.NewClient(t.platform.url(), blplatform.WithWait(watchWait))
		if err != nil {
			w.cancel()
			return nil, fmt.Errorf("platform client: %w", err)
		}
		d := newSource(client, func(now time.Time, s *blconfig.Snapshot) { t.meter.applied(i, s.Version(), now) })
		w.tasks.Go(func() { d.run(ctx) })
	}
	return w, nil
}

// watchers is the mesh of that baseline. Its daemons exchange no bytes with each other.
type watchers struct {
	daemons int
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

func (w *watchers) settled() bool { return true }

func (w *watchers) bytes() []traffic { return make([]traffic, w.daemons) }

func (w *watchers) stop() {
	w.cancel()
	w.tasks.Wait()
}

// source reads the platform as a reader of the measured system does, and hands over each
// newer version.
type source struct {
	client  *blplatform.Client
	values  chan basillift.Value
	adopt   func(now time.Time, s *blconfig.Snapshot)
	current *blconfig.Snapshot
	tasks   sync.WaitGroup
}

func newSource(c *blplatform.Client, adopt func(now time.Time, s *blconfig.Snapshot)) *source {
	return &source{client: c, values: make(chan basillift.Value, 8), adopt: adopt}
}

func (s *source) run(ctx context.Context) {
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		w := &sourceWatch{source: s, key: key}
		s.tasks.Go(func() { w.loop(ctx) })
	}
	for ctx.Err() == nil {
		select {
		case v := <-s.values:
			s.cut(ctx, s.newest(v))
		case <-ctx.Done():
		}
	}
	s.tasks.Wait()
	s.client.Close()
}

// newest joins the values that wait, so that a burst costs few cuts.
func (s *source) newest(first basillift.Value) []basillift.Value {
	byKey := map[string]basillift.Value{first.Key(): first}
	for len(s.values) > 0 {
		v := <-s.values
		byKey[v.Key()] = v
	}
	seen := make([]basillift.Value, 0, len(byKey))
	for _, v := range byKey {
		seen = append(seen, v)
	}
	return seen
}

func (s *source) cut(ctx context.Context, seen []basillift.Value) {
	cut, err := blplatform.ReadLists(ctx, s.client, seen...)
	if err != nil {
		return // The next change is read again; the wait of the trial shows a version that is missing.
	}
	if s.current != nil && !cut.Version().NewerThan(s.current.Version()) {
		return
	}
	next, err := s.build(cut.Version(), cut)
	if err != nil {
		return
	}
	s.current = next
	s.adopt(time.Now(), next)
}

// sourceWatch waits for changes of one key.
type sourceWatch struct {
	source *source
	key    string
}

func (w *sourceWatch) loop(ctx context.Context) {
	mod := uint64(0)
	for ctx.Err() == nil {
		v, err := w.source.client.Watch(ctx, w.key, mod)
		if err != nil {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if v.ModRevision() == mod {
			continue
		}
		mod = v.ModRevision()
		select {
		case w.source.values <- v:
		case <-ctx.Done():
		}
	}
}
