package basillift

import (
	"fmt"
	"strconv"
)

// revisionNumberBits is how many bits of a Revision hold its number; the era has the bits above.
const revisionNumberBits = 48

// The highest parts of a revision. A revision fits into 62 bits.
const (
	MaxRevisionEra    = 1<<14 - 1
	MaxRevisionNumber = 1<<revisionNumberBits - 1
)

// Revision is a state of the registry. The number rises with each change. When the registry loses changes, because it was
// restored from a copy, the era rises and the number goes back, so that the numbers after that of the copy are used again for
// other changes. Revisions are ordered by era, then by number: of two revisions the larger one is the newer state. 0 is older
// than any state.
type Revision uint64

// NewRevision returns the revision with a number in an era. The error wraps ErrRefused if one of them is too large.
func NewRevision(era, number uint64) (Revision, error) {
	if era > MaxRevisionEra || number > MaxRevisionNumber {
		return 0, fmt.Errorf("revision %d of era %d is too large: %w", number, era, ErrRefused)
	}
	return Revision(era<<revisionNumberBits | number), nil
}

// Era counts how often the registry has lost changes.
func (r Revision) Era() uint64 { return uint64(r >> revisionNumberBits) }

// Number counts the changes of the registry.
func (r Revision) Number() uint64 { return uint64(r & MaxRevisionNumber) }

// EraStart returns the oldest revision of the same era.
func (r Revision) EraStart() Revision { return r &^ MaxRevisionNumber }

// String returns era and number with a point between them.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "." + strconv.FormatUint(r.Number(), 10)
}
