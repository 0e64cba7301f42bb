package labtarget

import (
	"time"
)

// State is what a target says of itself.
type State string

// The states of a target.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateShedding State = "shedding"
	StateDraining State = "draining"
)

// Willing reports whether a target in this state accepts calls.
func (s State) Willing() bool { return s == StateReady || s == StateShedding }

// Load is what the load endpoint says.
type Load struct {
	slots int
	used  int
	queue int
	state State
}

// State is the state at the time of the report.
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
	return loadBody{Slots: l.slots, Used: l.used, Queue: l.queue, State: l.state}
}

// Gate decides which calls a target admits. It is not safe for concurrent use;
// its Target guards it.
type Gate struct {
	slots  int
	limit  int
	used   int
	queue  int
	ready  time.Time
	drain  bool
	shed   float64
	refuse bool
}

// NewGate returns the gate of a target that is cold until ready. Limit bounds
// the calls that wait for a slot.
func NewGate(slots, limit int, ready time.Time) *Gate {
	return &Gate{slots: slots, limit: limit, ready: ready}
}

// Enter takes a place in the queue for a call; draw is a random number in [0,1)
// against which the share of shed calls is compared. It returns the reason of a
// refusal, or "".
func (g *Gate) Enter(now time.Time, draw float64) string {
	switch {
	case g.drain:
		return "draining"
	case now.Before(g.ready):
		return "draining"
	case g.used >= g.slots && g.queue >= g.limit:
		g.refuse = true
		return "overload"
	case draw < g.shed:
		return "overload"
	}
	g.queue++
	return ""
}

// Start moves a call from the queue into a slot.
func (g *Gate) Start() {
	g.queue--
	g.used++
}

// Leave takes back the place of a call that gave up in the queue.
func (g *Gate) Leave() { g.queue-- }

// End frees a slot.
func (g *Gate) End() {
	g.used--
	if g.queue == 0 {
		g.refuse = false
	}
}

// Switch sets draining and the share of calls to shed.
func (g *Gate) Switch(drain bool, shed float64) {
	g.drain, g.shed = drain, shed
}

// Load is the true present load.
func (g *Gate) Load(now time.Time) Load {
	return Load{slots: g.slots, used: g.used, queue: g.queue, state: g.state(now)}
}

func (g *Gate) state(now time.Time) State {
	switch {
	case g.drain:
		return StateDraining
	case now.Before(g.ready):
		return StateStarting
	case g.shed > 0 || g.refuse:
		return StateShedding
	default:
		return StateReady
	}
}
