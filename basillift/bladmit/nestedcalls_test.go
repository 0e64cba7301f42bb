package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against nested calls that are refused although their parents have done their work, and against
// callers' requests that are mistaken for nested calls.
func TestNestedCallDetector(t *testing.T) {
	observe := func(d *NestedCallDetector, route string, services ...string) {
		for range minOriginRequests {
			for _, s := range services {
				d.Observe(route, s)
			}
		}
	}
	t.Run("a route from one service beside routes from several", func(t *testing.T) {
		is := is.New(t)
		d := NewNestedCallDetector()
		observe(d, "call", "catalogue")
		is.True(!d.IsNested("call"))
		observe(d, "lookup", "catalogue", "gallery", "reservations")
		is.True(d.IsNested("call"))
		is.True(!d.IsNested("lookup"))
		is.True(!d.IsNested("unknown"))
		d.Observe("call", "gallery")
		is.True(!d.IsNested("call"))
	})
	t.Run("a mesh with one calling service", func(t *testing.T) {
		is := is.New(t)
		d := NewNestedCallDetector()
		observe(d, "call", "catalogue")
		observe(d, "lookup", "catalogue")
		is.True(!d.IsNested("call"))
	})
}

// Guards against a nested call that is refused while its parent could still use the answer. It tests the DeadlineQueue
// only.
func TestNestedWaitsUntilItsDeadline(t *testing.T) {
	q := warmedQueue(1, "a", 100*time.Millisecond)
	assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, 250*time.Millisecond)), AdmissionRun)
	assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, 250*time.Millisecond)), AdmissionWait)
	assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 1, 120*time.Millisecond)), AdmissionRefuse)
	nested := slotRequest(baseTime, 4, "a", 1, 120*time.Millisecond).WithNested(true)
	assertResult(t, q.Arrive(baseTime, nested), AdmissionWait)
	assertStarted(t, q.Finish(baseTime, 1, true), 4)
}
