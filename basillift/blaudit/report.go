package blaudit

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

// The time bounds of the promises, and the tolerated clock difference.
const (
	// LeaveBound is the time within which all callers' daemons stop sending new calls to a leaving target.
	LeaveBound = 2 * time.Second
	// InForceBound is the time within which an accepted version is in force everywhere.
	InForceBound = 3 * time.Second
	// ClockTolerance is the difference between the clocks of two VMs that the rules allow for.
	ClockTolerance = 50 * time.Millisecond
)

// Promise is the number of a promise as docs/design.md lists it.
type Promise int

// The promises.
const (
	NoOlderVersion    Promise = 1
	NoBadRoute        Promise = 2
	AllOrNone         Promise = 3
	WholeAnswer       Promise = 4
	NotRunMeansNotRun Promise = 5
	AtMostOnce        Promise = 6
	NoNewWork         Promise = 7
	GracefulStop      Promise = 8
	InForce           Promise = 9
)

// String returns a short description of the promise; it is empty for an unknown number.
func (p Promise) String() string {
	names := map[Promise]string{
		NoOlderVersion:    "no older version",
		NoBadRoute:        "no route to a missing resource",
		AllOrNone:         "all of a version or none",
		WholeAnswer:       "whole answer",
		NotRunMeansNotRun: "not run means not run",
		AtMostOnce:        "at most once",
		NoNewWork:         "no new work for a leaving target",
		GracefulStop:      "graceful stop",
		InForce:           "in force everywhere",
	}
	return names[p]
}

// Finding is one violation of a promise with the events that show it.
type Finding struct {
	promise Promise
	text    string
	events  []basillift.Event
}

// Promise is the broken promise.
func (f Finding) Promise() Promise { return f.promise }

// Text describes the violation for a human.
func (f Finding) Text() string { return f.text }

// Events are the events that show the violation, in order.
func (f Finding) Events() []basillift.Event { return f.events }

// VMs are the VMs that recorded these events, sorted and without duplicates.
func (f Finding) VMs() []basillift.VMID {
	var vms []basillift.VMID
	for _, e := range f.events {
		vms = append(vms, e.VM())
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// Report is the result of a check.
type Report struct {
	findings []Finding
	gaps     []basillift.VMID
	events   int
}

// Findings are the broken promises, in the order of the promises.
func (r Report) Findings() []Finding { return r.findings }

// Gaps are the VMs whose timeline lacks events, sorted.
func (r Report) Gaps() []basillift.VMID { return r.gaps }

// Events is the number of events that were checked.
func (r Report) Events() int { return r.events }

// Check applies all rules to a merged timeline.
func Check(events []basillift.Event) Report {
	h := newHistory(events)
	var findings []Finding
	rules := []func(history) []Finding{
		checkNoOlderVersion, checkNoBadRoute, checkAllOrNone, checkWholeAnswer, checkNotRun,
		checkAtMostOnce, checkLeaving, checkStops, checkInForce,
	}
	for _, rule := range rules {
		findings = append(findings, rule(h)...)
	}
	return Report{findings: findings, gaps: h.vmsWithGaps(), events: len(events)}
}
