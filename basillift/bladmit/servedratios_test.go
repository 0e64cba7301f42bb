package bladmit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against urgent requests that are refused while calls of less urgent ones take the target, and against calls
// that stand back where that frees nothing.
func TestShares(t *testing.T) {
	observe := func(s *ServedRatios, lane string, rank, count int, outcome float64) {
		for range count {
			s.Observe(begin, lane, rank, outcome)
		}
	}
	always := func(string) bool { return true }
	t.Run("less room for something more urgent", func(t *testing.T) {
		is := is.New(t)
		s := NewServedRatios()
		observe(s, "upload", 1, 40, 0.5)
		is.True(s.ShouldYield(begin, 2, 0.9, always))
		is.True(!s.ShouldYield(begin, 1, 0.9, always))
		is.True(!s.ShouldYield(begin, 2, 0.5, always))
	})
	t.Run("calls that are not in the way", func(t *testing.T) {
		s := NewServedRatios()
		observe(s, "upload", 1, 40, 0.5)
		is.New(t).True(!s.ShouldYield(begin, 2, 0.9, func(lane string) bool { return lane != "upload" }))
	})
	t.Run("few or old observations", func(t *testing.T) {
		is := is.New(t)
		s := NewServedRatios()
		observe(s, "upload", 1, shareNeeded-1, 0)
		is.True(!s.ShouldYield(begin, 2, 1, always))
		observe(s, "upload", 1, 1, 0)
		is.True(s.ShouldYield(begin, 2, 1, always))
		is.True(!s.ShouldYield(begin.Add(shareLifetime), 2, 1, always))
	})
	t.Run("unknown lanes are served", func(t *testing.T) {
		is.New(t).Equal(NewServedRatios().Served("other"), 1.0)
	})
}
