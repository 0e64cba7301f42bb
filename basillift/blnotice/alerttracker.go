package blnotice

import (
	"cmp"
	"slices"
	"time"
)

// maxMatters bounds the open matters of a notifier. Above it, new matters wait until one closes.
const maxMatters = 256

// AlertTracker holds the open alerts of the notifier.
type AlertTracker struct {
	open map[string]*matter
}

type matter struct {
	report Report
	last   time.Time
}

// NewAlertTracker returns a tracker without alerts.
func NewAlertTracker() *AlertTracker {
	return &AlertTracker{open: map[string]*matter{}}
}

// Report takes an observer's report and returns the notice to send when the
// matter is new. A report whose notice was sent by an earlier notifier opens the
// matter without a notice.
func (b *AlertTracker) Report(now time.Time, r Report) (Notice, bool) {
	id := r.condition.ID()
	if m, known := b.open[id]; known {
		m.last = now
		if r.since.Before(m.report.since) {
			m.report.since = r.since
		}
		return Notice{}, false
	}
	if len(b.open) >= maxMatters {
		return Notice{}, false
	}
	b.open[id] = &matter{report: r, last: now}
	return Notice{report: r, phase: PhaseOpen, at: now}, !r.sent
}

// Failed forgets a matter whose notice could not be delivered, so that the next report sends it.
func (b *AlertTracker) Failed(id string) { delete(b.open, id) }

// Has reports whether a matter is open.
func (b *AlertTracker) Has(id string) bool {
	_, known := b.open[id]
	return known
}

// Tick closes the matters that no observer reports any more and returns their notices.
func (b *AlertTracker) Tick(now time.Time) []Notice {
	var closed []Notice
	for id, m := range b.open {
		if now.Sub(m.last) < CloseAfter {
			continue
		}
		delete(b.open, id)
		closed = append(closed, Notice{report: m.report, phase: PhaseClosed, at: now})
	}
	sortNotices(closed)
	return closed
}

// Open returns the open matters, sorted by id.
func (b *AlertTracker) Open() []Notice {
	notices := make([]Notice, 0, len(b.open))
	for _, m := range b.open {
		notices = append(notices, Notice{report: m.report, phase: PhaseOpen, at: m.report.since})
	}
	sortNotices(notices)
	return notices
}

func sortNotices(notices []Notice) {
	slices.SortFunc(notices, func(a, b Notice) int {
		return cmp.Compare(a.report.condition.ID(), b.report.condition.ID())
	})
}
