package labplatform

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFaults means that a request to set faults contains a value out of range.
var ErrFaults = eris.New("fault out of range")

// maxDelayMillis bounds the slow fault, because a longer delay amounts to an outage.
const maxDelayMillis = 60_000

// faultsBody is the JSON body that sets the faults. Each POST replaces all faults; an
// absent field disables its fault. RestoreRevision restores the store once and isn't kept.
type faultsBody struct {
	Outage          bool    `json:"outage"`
	StaleRevision   uint64  `json:"stale"`
	OlderRatio      float64 `json:"older"`
	DelayMillis     int     `json:"slow"`
	RestoreRevision uint64  `json:"back"`
}

// Faults are the active faults of the platform. The zero value has none.
type Faults struct {
	outage        bool
	staleRevision uint64
	olderRatio    float64
	responseDelay time.Duration
}

func newFaults(b faultsBody) (Faults, error) {
	if b.OlderRatio < 0 || b.OlderRatio > 1 {
		return Faults{}, fmt.Errorf("older is %v, must be 0 to 1: %w", b.OlderRatio, ErrFaults)
	}
	if b.DelayMillis < 0 || b.DelayMillis > maxDelayMillis {
		return Faults{}, fmt.Errorf("slow is %d ms, must be 0 to %d ms: %w", b.DelayMillis, maxDelayMillis, ErrFaults)
	}
	responseDelay := time.Duration(b.DelayMillis) * time.Millisecond
	return Faults{outage: b.Outage, staleRevision: b.StaleRevision, olderRatio: b.OlderRatio, responseDelay: responseDelay}, nil
}

// Outage reports whether every read fails with status 503.
func (f Faults) Outage() bool { return f.outage }

// ResponseDelay is the delay of each response.
func (f Faults) ResponseDelay() time.Duration { return f.responseDelay }

// VisibleRevision returns the store revision that a read of one key observes. It is the
// fixed revision of the stale fault if that is older than the store, the revision just
// before the key's last write (modRevision) if the older fault applies to this read, and
// storeRevision otherwise.
func (f Faults) VisibleRevision(storeRevision, modRevision uint64, random *rand.Rand) uint64 {
	if f.staleRevision > 0 && f.staleRevision < storeRevision {
		return f.staleRevision
	}
	if f.olderRatio > 0 && modRevision > 0 && random.Float64() < f.olderRatio {
		return modRevision - 1
	}
	return storeRevision
}
