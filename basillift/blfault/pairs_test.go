package blfault

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// pairs is the number of seeded pairs; every fourth pair is the same cell twice.
const pairs = 64

func runnable() []Cell {
	var cells []Cell
	for _, c := range Table() {
		if c.Verdict() == VerdictRun && c.Fault() != FaultPausedL {
			cells = append(cells, c)
		}
	}
	return cells
}

// Guards against a promise that holds under each fault alone and breaks under two.
// Pauses of 10 min are left out: one such run takes as long as ten others.
func TestPairs(t *testing.T) {
	cells := runnable()
	for seed := range int64(pairs) {
		random := rand.New(rand.NewSource(seed))
		a, b := cells[random.Intn(len(cells))], cells[random.Intn(len(cells))]
		if seed%4 == 0 {
			b = a
		}
		name := fmt.Sprintf("%d/%s/%s/%s/%s", seed, a.Fault(), a.Step(), b.Fault(), b.Step())
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			runFaults(t, seed, a, b)
		})
	}
}
