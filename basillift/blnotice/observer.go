package blnotice

import (
	"cmp"
	"slices"
	"time"
)

// The times of a matter.
const (
	// OpenAfter is how long a condition must hold before it is reported, so that a
	// restart or a short cut does not alert anyone.
	OpenAfter = 10 * time.Second
	// PartitionedAfter takes the place of OpenAfter for a failure domain that is cut off: after a restart of
	// a whole mesh some daemons hold this belief for up to 15 s although all is well.
	PartitionedAfter = 30 * time.Second
	// RepeatEvery is how often an observer repeats a report, so that a new notifier learns of it.
	RepeatEvery = 10 * time.Second
	// CloseAfter is how long no observer must report a condition before its matter
	// closes. A condition that flaps faster stays one matter.
	CloseAfter = 60 * time.Second
)

func openAfter(k Kind) time.Duration {
	if k == KindPartitioned {
		return PartitionedAfter
	}
	return OpenAfter
}

// Observer follows the conditions that one daemon sees.
type Observer struct {
	seen map[string]*observation
}

type observation struct {
	condition Condition
	since     time.Time
	last      time.Time
	reported  time.Time
	sent      bool
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{seen: map[string]*observation{}}
}

// Observe takes all conditions that hold now and returns the reports that are due, sorted by id.
func (o *Observer) Observe(now time.Time, conditions []Condition) []Report {
	for _, c := range conditions {
		s, known := o.seen[c.ID()]
		if !known {
			s = &observation{since: now}
			o.seen[c.ID()] = s
		}
		s.condition, s.last = c, now
	}
	return o.due(now)
}

func (o *Observer) due(now time.Time) []Report {
	var reports []Report
	for id, s := range o.seen {
		if now.Sub(s.last) >= CloseAfter {
			delete(o.seen, id)
			continue
		}
		if s.last != now || now.Sub(s.since) < openAfter(s.condition.kind) {
			continue
		}
		if !s.reported.IsZero() && now.Sub(s.reported) < RepeatEvery {
			continue
		}
		s.reported = now
		reports = append(reports, NewReport(s.condition, s.since, s.sent))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.condition.ID(), b.condition.ID()) })
	return reports
}

// Acknowledged takes the notifier's answer that the notice of a matter was sent.
func (o *Observer) Acknowledged(id string) {
	if s, known := o.seen[id]; known {
		s.sent = true
	}
}

// Retry makes a report due again at once, after it could not be delivered.
func (o *Observer) Retry(id string) {
	if s, known := o.seen[id]; known {
		s.reported = time.Time{}
	}
}
