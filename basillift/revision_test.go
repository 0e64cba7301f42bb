package basillift

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// revisionOf returns the revision with a number in an era.
func revisionOf(t *testing.T, era, number uint64) Revision {
	t.Helper()
	r, err := NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// Guards against a state that counts as newer because its number is larger, though the registry has lost it.
func TestRevisionOrder(t *testing.T) {
	is := is.New(t)
	r := revisionOf(t, 2, 50)
	is.True(r > revisionOf(t, 1, 60))
	is.True(r > revisionOf(t, 1, MaxRevisionNumber))
	is.True(r < revisionOf(t, 2, 51))
	is.True(r < revisionOf(t, 3, 1))
	is.Equal(r.EraStart(), revisionOf(t, 2, 0))
	is.Equal(fmt.Sprint(r), "2.50")
	is.Equal(revisionOf(t, 0, 7), Revision(7))
	is.Equal([]uint64{r.Era(), r.Number()}, []uint64{2, 50})
}

// Guards against a number that spills over into the era.
func TestRevisionIsTooLarge(t *testing.T) {
	for _, parts := range [][2]uint64{{MaxRevisionEra + 1, 0}, {0, MaxRevisionNumber + 1}, {1 << 63, 1 << 63}} {
		_, err := NewRevision(parts[0], parts[1])
		is.New(t).True(errors.Is(err, ErrRefused))
	}
}
