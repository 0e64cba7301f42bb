package blfault

// seeds is the number of orders of messages in which a cell runs. A pause of 10 min makes
// a run 10 times as long.
func seeds(c Cell) int64 {
	if c.Fault() == FaultPausedL {
		return 1
	}
	return 2
}
