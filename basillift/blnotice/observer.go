package blnotice

import (
	"cmp"
	"slices"
	"time"
)

// The delays and intervals of reporting and closing an alert.
const (
	// OpenDelay is how long a condition must hold before it is reported, so that a
	// restart or a short network partition does not raise an alert.
	OpenDelay = 10 * time.Second
	// PartitionOpenDelay replaces OpenDelay for a partitioned failure domain. After a restart of a whole mesh,
	// some daemons consider a failure domain partitioned for up to 15 s although it is not.
	PartitionOpenDelay = 30 * time.Second
	// ReportInterval is how often an observer sends a report again, so that a new notifier receives it.
	ReportInterval = 10 * time.Second
	// CloseDelay is how long a condition must go unreported by all observers before its alert
	// closes. A condition that flaps faster stays one alert.
	CloseDelay = 60 * time.Second
)

func openDelay(k Kind) time.Duration {
	if k == KindPartitioned {
		return PartitionOpenDelay
	}
	return OpenDelay
}

// Observer tracks the conditions of one daemon and decides when to report them. It is not safe for concurrent use.
type Observer struct {
	seen map[string]*observation
}

// observation is a condition that was seen within the last CloseDelay.
type observation struct {
	condition     Condition
	firstObserved time.Time
	lastObserved  time.Time
	lastReported  time.Time
	sent          bool
}

// NewObserver returns an observer without conditions.
func NewObserver() *Observer {
	return &Observer{seen: map[string]*observation{}}
}

// Observe records all conditions that hold now and returns the reports that are due, sorted by id.
func (o *Observer) Observe(now time.Time, conditions []Condition) []Report {
	for _, c := range conditions {
		ob, known := o.seen[c.ID()]
		if !known {
			ob = &observation{firstObserved: now}
			o.seen[c.ID()] = ob
		}
		ob.condition, ob.lastObserved = c, now
	}
	return o.due(now)
}

func (o *Observer) due(now time.Time) []Report {
	var reports []Report
	for id, ob := range o.seen {
		if now.Sub(ob.lastObserved) >= CloseDelay {
			delete(o.seen, id)
			continue
		}
		if ob.lastObserved != now || now.Sub(ob.firstObserved) < openDelay(ob.condition.kind) {
			continue
		}
		if !ob.lastReported.IsZero() && now.Sub(ob.lastReported) < ReportInterval {
			continue
		}
		ob.lastReported = now
		reports = append(reports, NewReport(ob.condition, ob.firstObserved, ob.sent))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.condition.ID(), b.condition.ID()) })
	return reports
}

// MarkSent records the notifier's answer that the notice of an alert was sent.
func (o *Observer) MarkSent(id string) {
	if ob, known := o.seen[id]; known {
		ob.sent = true
	}
}

// Retry makes a report due at once, after it could not be delivered to the notifier.
func (o *Observer) Retry(id string) {
	if ob, known := o.seen[id]; known {
		ob.lastReported = time.Time{}
	}
}
