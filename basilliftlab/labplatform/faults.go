package labplatform

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFaults means that a set of faults holds a value that is not allowed.
var ErrFaults = eris.New("fault out of range")

// maximumSlow bounds the slow fault; a longer delay is an outage.
const maximumSlow = 60_000

// faultsBody is the JSON form of Faults. Each POST replaces all faults; a field
// that is absent is off. Back acts once.
type faultsBody struct {
	Outage bool    `json:"outage"`
	Stale  uint64  `json:"stale"`
	Older  float64 `json:"older"`
	Slow   int     `json:"slow"`
	Back   uint64  `json:"back"`
}

// Faults are the platform's present faults. The zero value has none.
type Faults struct {
	outage bool
	stale  uint64
	older  float64
	slow   time.Duration
}

func newFaults(b faultsBody) (Faults, error) {
	if b.Older < 0 || b.Older > 1 {
		return Faults{}, fmt.Errorf("older is %v, allowed are 0 to 1: %w", b.Older, ErrFaults)
	}
	if b.Slow < 0 || b.Slow > maximumSlow {
		return Faults{}, fmt.Errorf("slow is %d, allowed are 0 to %d ms: %w", b.Slow, maximumSlow, ErrFaults)
	}
	slow := time.Duration(b.Slow) * time.Millisecond
	return Faults{outage: b.Outage, stale: b.Stale, older: b.Older, slow: slow}, nil
}

// Outage reports whether every call is answered with 503.
func (f Faults) Outage() bool { return f.outage }

// Slow is the time by which each answer is delayed.
func (f Faults) Slow() time.Duration { return f.slow }

// View returns the revision at which a call sees a key whose newest write is mod.
func (f Faults) View(revision, mod uint64, random *rand.Rand) uint64 {
	if f.stale > 0 && f.stale < revision {
		return f.stale
	}
	if f.older > 0 && mod > 0 && random.Float64() < f.older {
		return mod - 1
	}
	return revision
}
