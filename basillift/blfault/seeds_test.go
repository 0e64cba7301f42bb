package blfault

// seedCount returns the number of seeds with which a cell runs; each seed gives another order
// of messages. A pause of 10 min makes a run 10 times as long.
func seedCount(c Cell) int64 {
	switch {
	case c.Fault() == FaultPaused10min:
		return 1
	case c.Fault() == FaultPlatformStale && c.Step() == StepRejoining:
		// Whether the platform or a peer answers first depends on the order of messages.
		return 12
	default:
		return 2
	}
}
