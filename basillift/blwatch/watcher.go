package blwatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/bltrace"
	"basillift.dev/basillift/common/blwait"
)

var errAnswerLost = eris.New("answer seems to be lost")

// Handler receives the content of the registry and its changes.
type Handler interface {
	// Replace receives everything that the registry held at a revision.
	Replace(now time.Time, revision basillift.Revision, all []basillift.RegistryEntry)
	// Apply receives one change.
	Apply(now time.Time, e basillift.RegistryEntry)
	// WaitFailed reports that a request to the registry ended without an answer while the registry counted as reachable.
	// unanswered is the time since its last answer.
	WaitFailed(now time.Time, unanswered time.Duration, err error)
	// RegistryDown reports that the registry no longer answers.
	RegistryDown(now time.Time, err error)
	// RegistryRecovered reports that the registry answers again. The answer is passed to Replace or Apply with the same time.
	RegistryRecovered(now time.Time, o Outage)
}

// Watcher reads the registry and passes its content and changes to a Handler. It implements basillift.RevisionGossip: other daemons
// are told of a revision once the handler has applied it.
type Watcher struct {
	registry basillift.Registry
	handler  Handler

	// hasFollowers reports whether other daemons follow this one; nil for never.
	hasFollowers func(now time.Time) bool

	mutex sync.Mutex
	state *WatchState
	// pending is the request for changes whose answer has not begun to arrive; nil if there is none.
	pending *pendingWait
	// appliedRevision and appliedAnswer are the newest revision of an entry and the time of the last answer that the handler has
	// applied. Others are told these, as they rely on this daemon's holding what it says.
	appliedRevision basillift.Revision
	appliedAnswer   time.Time
}

// pendingWait is a request for changes.
type pendingWait struct{ cancel context.CancelFunc }

// New returns a watcher of a registry. rnd randomizes the pauses after failures.
func New(registry basillift.Registry, handler Handler, rnd *rand.Rand) *Watcher {
	now := time.Now()
	return &Watcher{registry: registry, handler: handler, state: NewWatchState(now, rnd), appliedAnswer: now}
}

// SetHasFollowers sets the function that reports whether other daemons follow this one. It must be called before Run.
func (w *Watcher) SetHasFollowers(hasFollowers func(now time.Time) bool) {
	w.hasFollowers = hasFollowers
}

// Run watches the registry until ctx ends. Failures are retried and not returned.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		o := w.next(time.Now())
		if o.Pause() > 0 && !blwait.For(ctx, o.Pause()) || ctx.Err() != nil {
			return nil
		}
		if err := w.execute(ctx, o); err != nil && ctx.Err() == nil {
			w.recordFailure(time.Now(), err)
		}
	}
}

func (w *Watcher) next(now time.Time) Operation {
	// The function may take locks under which LastAnswer is called, so it must not be called with the mutex held.
	hasFollowers := w.hasFollowers != nil && w.hasFollowers(now)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.state.SetHasFollowers(hasFollowers)
	return w.state.Next(now)
}

// recordFailure records a failed request. A wait that was canceled deliberately does not count towards an outage.
func (w *Watcher) recordFailure(now time.Time, err error) {
	w.mutex.Lock()
	reachable, unanswered, down := !w.state.down, now.Sub(w.state.lastAnswer), false
	if errors.Is(err, errAnswerLost) {
		w.state.WaitCanceled()
	} else {
		down = w.state.Failed(now, err)
	}
	w.mutex.Unlock()
	if reachable {
		w.handler.WaitFailed(now, unanswered, err)
	}
	if down {
		w.handler.RegistryDown(now, err)
	}
}

// NewestRevision implements basillift.RevisionGossip.
func (w *Watcher) NewestRevision() basillift.Revision {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.appliedRevision
}

// LastAnswer is the time of the registry's last answer that the handler has applied.
func (w *Watcher) LastAnswer() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.appliedAnswer
}

// recordApplied records that the handler has applied the answer that arrived at the given time. An answer of another era applies
// nothing.
func (w *Watcher) recordApplied(answered time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.state.Current() {
		w.appliedRevision, w.appliedAnswer = w.state.NewestRevision(), answered
	}
}

// ObserveRevision implements basillift.RevisionGossip.
func (w *Watcher) ObserveRevision(revision basillift.Revision) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if due, behind := w.state.ObserveRevision(now, revision); behind {
		time.AfterFunc(due.Sub(now), w.cancelOverdueWait)
	}
}

// cancelOverdueWait cancels a pending wait whose answer seems to be lost.
func (w *Watcher) cancelOverdueWait() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending != nil && w.state.Overdue(time.Now()) {
		w.pending.cancel()
	}
}

func (w *Watcher) execute(ctx context.Context, o Operation) error {
	if o.Kind() == OperationList {
		return w.list(ctx, o)
	}
	page, err := w.waitForChanges(ctx, o)
	if err != nil {
		return err
	}
	now := time.Now()
	w.mutex.Lock()
	changes, recovered := w.state.Changed(now, page)
	outage := w.state.LastOutage()
	w.mutex.Unlock()
	w.reportRecovery(now, recovered, outage)
	for _, e := range changes {
		w.handler.Apply(now, e)
	}
	w.recordApplied(now)
	return nil
}

func (w *Watcher) list(ctx context.Context, o Operation) error {
	page, err := w.registry.List(ctx, o.After())
	if err != nil {
		return fmt.Errorf("list registry: %w", err)
	}
	now := time.Now()
	w.mutex.Lock()
	all, complete, recovered := w.state.Listed(now, page)
	outage, revision := w.state.LastOutage(), w.state.revision
	w.mutex.Unlock()
	w.reportRecovery(now, recovered, outage)
	if complete {
		w.handler.Replace(now, revision, all)
		w.recordApplied(now)
	}
	return nil
}

// setPending sets the request that cancelOverdueWait may cancel.
func (w *Watcher) setPending(p *pendingWait) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pending = p
}

// answerBegun records that the answer to a request is arriving, so that it is not lost.
func (w *Watcher) answerBegun(p *pendingWait) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending == p {
		w.pending = nil
	}
}

// waitForChanges requests changes. cancelOverdueWait may cancel the request until its answer begins to arrive.
func (w *Watcher) waitForChanges(ctx context.Context, o Operation) (basillift.RegistryPage, error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := &pendingWait{cancel: cancel}
	w.setPending(pending)
	requestCtx := bltrace.WithAnswerBegun(waitCtx, func() { w.answerBegun(pending) })
	page, err := w.registry.Changes(requestCtx, o.Revision(), o.Wait(), o.Timeout())
	w.setPending(nil)
	switch {
	case err != nil && waitCtx.Err() != nil && ctx.Err() == nil:
		return page, fmt.Errorf("wait for changes: %w", errAnswerLost)
	case err != nil:
		return page, fmt.Errorf("wait for changes: %w", err)
	}
	return page, nil
}

// reportRecovery reports the end of an outage to the handler.
func (w *Watcher) reportRecovery(now time.Time, recovered bool, o Outage) {
	if recovered {
		w.handler.RegistryRecovered(now, o)
	}
}
