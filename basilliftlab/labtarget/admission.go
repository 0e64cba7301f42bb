package labtarget

import (
	"time"
)

// State is the state that a target reports.
type State string

// The states of a target.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateShedding State = "shedding"
	StateDraining State = "draining"
)

// AcceptsCalls reports whether a target in this state accepts calls.
func (s State) AcceptsCalls() bool { return s == StateReady || s == StateShedding }

// Load is the load that a target reports.
type Load struct {
	slots  int
	used   int
	queued int
	state  State
}

// State is the state that belongs to the load.
func (l Load) State() State { return l.state }

// Used is the number of slots in use.
func (l Load) Used() int { return l.used }

// loadBody is the JSON form of Load.
type loadBody struct {
	Slots int   `json:"slots"`
	Used  int   `json:"used"`
	Queue int   `json:"queue"`
	State State `json:"state"`
}

func (l Load) body() loadBody {
	return loadBody{Slots: l.slots, Used: l.used, Queue: l.queued, State: l.state}
}

// AdmissionController decides which calls a target admits. It is not safe for
// concurrent use; its Target guards it with a mutex.
type AdmissionController struct {
	slots      int
	maxQueue   int
	used       int
	queued     int
	readyAt    time.Time
	draining   bool
	shedRatio  float64
	overloaded bool
}

// NewAdmissionController returns the admission controller of a target that refuses
// calls until readyAt. At most maxQueue calls wait for a slot.
func NewAdmissionController(slots, maxQueue int, readyAt time.Time) *AdmissionController {
	return &AdmissionController{slots: slots, maxQueue: maxQueue, readyAt: readyAt}
}

// Admit adds a call to the queue or refuses it. random is a random number in
// [0,1); the call is shed if it is below the shed ratio. Admit returns the reason of
// a refusal, or "".
func (c *AdmissionController) Admit(now time.Time, random float64) string {
	switch {
	case c.draining:
		return "draining"
	case now.Before(c.readyAt):
		return "draining"
	case c.used >= c.slots && c.queued >= c.maxQueue:
		c.overloaded = true
		return "overload"
	case random < c.shedRatio:
		return "overload"
	}
	c.queued++
	return ""
}

// Start moves a call from the queue into a slot.
func (c *AdmissionController) Start() {
	c.queued--
	c.used++
}

// LeaveQueue removes a call that stopped waiting for a slot.
func (c *AdmissionController) LeaveQueue() { c.queued-- }

// End releases the slot of a call.
func (c *AdmissionController) End() {
	c.used--
	if c.queued == 0 {
		c.overloaded = false
	}
}

// SetSwitches sets whether the target drains, and the ratio of calls to shed.
func (c *AdmissionController) SetSwitches(drain bool, shedRatio float64) {
	c.draining, c.shedRatio = drain, shedRatio
}

// Load is the actual load at now.
func (c *AdmissionController) Load(now time.Time) Load {
	return Load{slots: c.slots, used: c.used, queued: c.queued, state: c.state(now)}
}

func (c *AdmissionController) state(now time.Time) State {
	switch {
	case c.draining:
		return StateDraining
	case now.Before(c.readyAt):
		return StateStarting
	case c.shedRatio > 0 || c.overloaded:
		return StateShedding
	default:
		return StateReady
	}
}
