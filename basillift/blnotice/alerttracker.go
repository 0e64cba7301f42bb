package blnotice

import (
	"cmp"
	"slices"
	"time"
)

// maxOpenAlerts limits the open alerts of a notifier. At the limit, a new alert opens only
// after another one closes.
const maxOpenAlerts = 256

// AlertTracker holds the open alerts of the notifier. It is not safe for concurrent use.
type AlertTracker struct {
	open map[string]*openAlert
}

type openAlert struct {
	report       Report
	lastReported time.Time
}

// NewAlertTracker returns a tracker without alerts.
func NewAlertTracker() *AlertTracker {
	return &AlertTracker{open: map[string]*openAlert{}}
}

// Report records an observer's report and returns the notice to send if the
// alert is new. A report whose notice was sent by an earlier notifier opens the
// alert without a notice.
func (t *AlertTracker) Report(now time.Time, r Report) (Notice, bool) {
	id := r.condition.ID()
	if a, known := t.open[id]; known {
		a.lastReported = now
		if r.since.Before(a.report.since) {
			a.report.since = r.since
		}
		return Notice{}, false
	}
	if len(t.open) >= maxOpenAlerts {
		return Notice{}, false
	}
	t.open[id] = &openAlert{report: r, lastReported: now}
	return Notice{report: r, phase: PhaseOpen, at: now}, !r.sent
}

// Discard removes an alert whose notice could not be delivered, so that the next report sends it again.
func (t *AlertTracker) Discard(id string) { delete(t.open, id) }

// IsOpen reports whether the alert with this id is open.
func (t *AlertTracker) IsOpen(id string) bool {
	_, known := t.open[id]
	return known
}

// CloseExpired closes the alerts that no observer has reported for CloseDelay and returns their notices,
// sorted by id.
func (t *AlertTracker) CloseExpired(now time.Time) []Notice {
	var closed []Notice
	for id, a := range t.open {
		if now.Sub(a.lastReported) < CloseDelay {
			continue
		}
		delete(t.open, id)
		closed = append(closed, Notice{report: a.report, phase: PhaseClosed, at: now})
	}
	sortNotices(closed)
	return closed
}

// Open returns the open alerts, sorted by id.
func (t *AlertTracker) Open() []Notice {
	notices := make([]Notice, 0, len(t.open))
	for _, a := range t.open {
		notices = append(notices, Notice{report: a.report, phase: PhaseOpen, at: a.report.since})
	}
	sortNotices(notices)
	return notices
}

func sortNotices(notices []Notice) {
	slices.SortFunc(notices, func(a, b Notice) int {
		return cmp.Compare(a.report.condition.ID(), b.report.condition.ID())
	})
}
