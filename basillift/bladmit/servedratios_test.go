package bladmit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against urgent requests that are refused while calls of less urgent ones occupy the target, and against calls
// that yield although this frees no capacity for the urgent ones.
func TestServedRatios(t *testing.T) {
	observe := func(s *ServedRatios, route string, rank, count int, ratio float64) {
		for range count {
			s.Observe(baseTime, route, rank, ratio)
		}
	}
	always := func(string) bool { return true }
	t.Run("more urgent requests are served less", func(t *testing.T) {
		is := is.New(t)
		s := NewServedRatios()
		observe(s, "upload", 1, 40, 0.5)
		is.True(s.ShouldYield(baseTime, 2, 0.9, always))
		is.True(!s.ShouldYield(baseTime, 1, 0.9, always))
		is.True(!s.ShouldYield(baseTime, 2, 0.5, always))
	})
	t.Run("calls that do not compete", func(t *testing.T) {
		s := NewServedRatios()
		observe(s, "upload", 1, 40, 0.5)
		is.New(t).True(!s.ShouldYield(baseTime, 2, 0.9, func(route string) bool { return route != "upload" }))
	})
	t.Run("few or old observations", func(t *testing.T) {
		is := is.New(t)
		s := NewServedRatios()
		observe(s, "upload", 1, minServedObservations-1, 0)
		is.True(!s.ShouldYield(baseTime, 2, 1, always))
		observe(s, "upload", 1, 1, 0)
		is.True(s.ShouldYield(baseTime, 2, 1, always))
		is.True(!s.ShouldYield(baseTime.Add(servedRatioLifetime), 2, 1, always))
	})
	t.Run("unknown routes count as served", func(t *testing.T) {
		is.New(t).Equal(NewServedRatios().Served("other"), 1.0)
	})
}
