package blfault

// seeds is the number of orders of messages in which a cell runs. A pause of 10 min makes
// a run 10 times as long.
func seeds(c Cell) int64 {
	switch {
	case c.Fault() == FaultPausedL:
		return 1
	case c.Fault() == FaultStale && c.Step() == StepRejoining:
		// Whether the platform or a peer answers first depends on the order of messages.
		return 12
	default:
		return 2
	}
}
