package blfault

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// pairCount is the number of pairs of cells, each chosen by a seed. Every fourth pair is the
// same cell twice.
const pairCount = 64

func pairCells() []Cell {
	var cells []Cell
	for _, c := range Table() {
		if c.Coverage() == CoverageRun && c.Fault() != FaultPaused10min {
			cells = append(cells, c)
		}
	}
	return cells
}

// Guards against a promise that holds under each fault alone but breaks under two faults.
// Pauses of 10 min are left out: one such run takes as long as ten others.
func TestPairs(t *testing.T) {
	cells := pairCells()
	for seed := range int64(pairCount) {
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
