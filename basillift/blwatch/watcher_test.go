package blwatch

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/bltrace"
)

// silentRegistry answers requests for changes. When it goes silent, the pending wait is never answered, nor is the next
// request on the same connection if none is pending. Requests during an outage are not answered either.
type silentRegistry struct {
	mutex      sync.Mutex
	revision   basillift.Revision
	outage     bool
	connSilent bool
	changed    chan struct{}
	silent     chan struct{}
}

func newSilentRegistry() *silentRegistry {
	return &silentRegistry{revision: 1, changed: make(chan struct{}), silent: make(chan struct{})}
}

func (r *silentRegistry) change() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *silentRegistry) newest() basillift.Revision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revision
}

func (r *silentRegistry) goSilent() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.connSilent = true
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *silentRegistry) setOutage(outage bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outage = outage
}

func (r *silentRegistry) List(context.Context, string) (basillift.RegistryPage, error) {
	return basillift.NewRegistryPage(nil, 1, ""), nil
}

// Changes implements basillift.Registry.
func (r *silentRegistry) Changes(ctx context.Context, revision basillift.Revision, wait, timeout time.Duration) (basillift.RegistryPage, error) {
	r.mutex.Lock()
	newest, changed, silent, unanswered := r.revision, r.changed, r.silent, r.outage || r.connSilent
	r.mutex.Unlock()
	if unanswered {
		changed, silent = nil, closedChannel()
	} else if newest > revision {
		return basillift.NewRegistryPage([]basillift.RegistryEntry{basillift.NewRegistryEntry("table", newest)}, newest, ""), nil
	}
	ended, waited := time.After(wait+timeout), time.After(wait)
	if unanswered {
		waited = nil
	}
	select {
	case <-changed:
		return r.Changes(ctx, revision, 0, 0)
	case <-waited:
		return basillift.NewRegistryPage(nil, revision, ""), nil
	case <-silent:
	case <-ctx.Done():
		return basillift.RegistryPage{}, fmt.Errorf("canceled: %w", basillift.ErrUnavailable)
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A failed request closes its connection.
	r.connSilent = false
	return basillift.RegistryPage{}, fmt.Errorf("no answer: %w", basillift.ErrUnavailable)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// recorder records when a revision was applied, and failed waits.
type recorder struct {
	mutex     sync.Mutex
	appliedAt map[basillift.Revision]time.Time
	failed    int
}

func (h *recorder) Replace(time.Time, basillift.Revision, []basillift.RegistryEntry) {}

func (h *recorder) Apply(now time.Time, e basillift.RegistryEntry) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.appliedAt[e.Revision()] = now
}

func (h *recorder) WaitFailed(time.Time, time.Duration, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failed++
}

// appliedAfter returns how long after a moment the handler got a revision.
func (h *recorder) appliedAfter(moment time.Time, revision basillift.Revision) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.appliedAt[revision].Sub(moment)
}

func (h *recorder) failedWaits() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failed
}

func (h *recorder) RegistryDown(time.Time, error) {}

func (h *recorder) RegistryRecovered(time.Time, Outage) {}

// staleness returns how long after the registry went silent a watcher applied the next change, and how many failed waits it
// reported. The registry goes silent some time after the change before.
func staleness(t *testing.T, sinceChange time.Duration, hasFollowers bool) (stale time.Duration, failed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		registry, handler := newSilentRegistry(), &recorder{appliedAt: make(map[basillift.Revision]time.Time)}
		w := New(registry, handler, rand.New(rand.NewSource(1)))
		w.SetHasFollowers(func(time.Time) bool { return hasFollowers })
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(time.Second)
		registry.change()
		time.Sleep(sinceChange)
		registry.goSilent()
		silentAt := time.Now()
		time.Sleep(time.Millisecond)
		registry.change()
		time.Sleep(time.Minute)
		stale, failed = handler.appliedAfter(silentAt, registry.newest()), handler.failedWaits()
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return stale, failed
}

// Guards against daemons that still route by an old table when they count as connected again, since the answer to
// their pending request for changes will never come.
func TestChangeAfterLostWait(t *testing.T) {
	for _, hasFollowers := range []bool{false, true} {
		bound := maxStaleness
		if hasFollowers {
			bound -= 500 * time.Millisecond
		}
		t.Run(fmt.Sprintf("followers %t", hasFollowers), func(t *testing.T) {
			for sinceChange := 25 * time.Millisecond; sinceChange < 5*time.Second; sinceChange += 50 * time.Millisecond {
				stale, failed := staleness(t, sinceChange, hasFollowers)
				if stale <= 0 || stale >= bound {
					t.Errorf("silent %s after a change: next change applied after %s, want less than %s", sinceChange, stale, bound)
				}
				if failed != 1 {
					t.Errorf("silent %s after a change: %d failed waits reported, want 1", sinceChange, failed)
				}
			}
		})
	}
}

// outageStaleness returns how long after a silent outage of the registry a watcher applied a change that was made during it.
func outageStaleness(t *testing.T, outage time.Duration) (stale time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		registry, handler := newSilentRegistry(), &recorder{appliedAt: make(map[basillift.Revision]time.Time)}
		w := New(registry, handler, rand.New(rand.NewSource(1)))
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(time.Second)
		registry.setOutage(true)
		registry.goSilent()
		time.Sleep(outage - time.Millisecond)
		registry.change()
		time.Sleep(time.Millisecond)
		registry.setOutage(false)
		returnedAt := time.Now()
		time.Sleep(time.Minute)
		stale = handler.appliedAfter(returnedAt, registry.newest())
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return stale
}

// Guards against daemons that still route by an old table when the registry counts as stable after a silent outage, since
// they sent a request just before its end.
func TestChangeAfterSilentOutage(t *testing.T) {
	for outage := time.Second; outage < 15*time.Second; outage += 50 * time.Millisecond {
		if stale := outageStaleness(t, outage); stale <= 0 || stale >= maxStaleness {
			t.Errorf("outage of %s: change applied %s after its end, want less than %s", outage, stale, maxStaleness)
		}
	}
}

// Guards against a reader that stops for good: its feed cache asks for the last answer while the watcher asks for followers.
func TestWatcherAnswersWhileItAsksForFollowers(t *testing.T) {
	w := New(newSilentRegistry(), &recorder{}, rand.New(rand.NewSource(1)))
	w.SetHasFollowers(func(time.Time) bool {
		returned := make(chan time.Time, 1)
		go func() { returned <- w.LastAnswer() }()
		select {
		case <-returned:
		case <-time.After(30 * time.Second):
			t.Error("the feed cache cannot ask for the last answer")
		}
		return true
	})
	w.next(time.Now())
}

// progressRecorder records what a watcher tells other parts while a change is being applied.
type progressRecorder struct {
	*recorder
	watcher  *Watcher
	revision basillift.Revision
	answered time.Time
}

func (r *progressRecorder) Apply(now time.Time, e basillift.RegistryEntry) {
	r.revision, r.answered = r.watcher.NewestRevision(), r.watcher.LastAnswer()
	r.recorder.Apply(now, e)
}

// Guards against a reader that counts as current, with other daemons and in its own feed cache, before it has applied a change.
func TestChangeCountsOnceApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry, handler := newSilentRegistry(), &progressRecorder{recorder: &recorder{appliedAt: make(map[basillift.Revision]time.Time)}}
		w := New(registry, handler, rand.New(rand.NewSource(1)))
		handler.watcher = w
		is.NoErr(w.execute(t.Context(), w.next(time.Now())))
		listed := time.Now()
		time.Sleep(time.Second)
		registry.change()
		is.NoErr(w.execute(t.Context(), w.next(time.Now())))
		is.True(handler.revision < registry.newest())
		is.Equal(handler.answered, listed)
		is.Equal(w.NewestRevision(), registry.newest())
		is.Equal(w.LastAnswer(), time.Now())
	})
}

// slowRegistry is a registry whose answers take longer to transfer than another daemon may be ahead.
type slowRegistry struct{ *silentRegistry }

// Changes implements basillift.Registry.
func (r slowRegistry) Changes(ctx context.Context, revision basillift.Revision, wait, timeout time.Duration) (basillift.RegistryPage, error) {
	page, err := r.silentRegistry.Changes(ctx, revision, wait, timeout)
	if err != nil || len(page.Entries()) == 0 {
		return page, err
	}
	bltrace.AnswerBegun(ctx)
	select {
	case <-time.After(2 * peerLeadTimeout):
		return page, nil
	case <-ctx.Done():
		return basillift.RegistryPage{}, fmt.Errorf("canceled: %w", basillift.ErrUnavailable)
	}
}

// Guards against a daemon on a slow link that never gets a large table, since it cancels the transfer when other daemons are
// ahead for a while.
func TestArrivingAnswerIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		registry, handler := newSilentRegistry(), &recorder{appliedAt: make(map[basillift.Revision]time.Time)}
		w := New(slowRegistry{registry}, handler, rand.New(rand.NewSource(1)))
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(time.Second)
		registry.change()
		changedAt, first := time.Now(), registry.newest()
		for range 50 {
			w.ObserveRevision(first)
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		is := is.New(t)
		is.Equal(handler.appliedAfter(changedAt, first), 2*peerLeadTimeout)
		is.Equal(handler.failedWaits(), 0)
	})
}
