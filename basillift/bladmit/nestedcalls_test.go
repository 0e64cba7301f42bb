package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls of targets that are refused although their parents have done their work, and against
// callers' requests that are taken for such calls.
func TestOrigins(t *testing.T) {
	observe := func(o *NestedCallDetector, lane string, services ...string) {
		for range originsNeeded {
			for _, s := range services {
				o.Observe(lane, s)
			}
		}
	}
	t.Run("a lane from one service beside lanes from several", func(t *testing.T) {
		is := is.New(t)
		o := NewNestedCallDetector()
		observe(o, "call", "catalogue")
		is.True(!o.IsNested("call"))
		observe(o, "lookup", "catalogue", "gallery", "reservations")
		is.True(o.IsNested("call"))
		is.True(!o.IsNested("lookup"))
		is.True(!o.IsNested("unknown"))
		o.Observe("call", "gallery")
		is.True(!o.IsNested("call"))
	})
	t.Run("a mesh with one calling service", func(t *testing.T) {
		is := is.New(t)
		o := NewNestedCallDetector()
		observe(o, "call", "catalogue")
		observe(o, "lookup", "catalogue")
		is.True(!o.IsNested("call"))
	})
}

// Guards against a call that is refused while its parent could still use the answer.
func TestNestedWaitsUntilItsDeadline(t *testing.T) {
	q := taught(1, "a", 100*time.Millisecond)
	assertVerdict(t, q.Arrive(begin, offerAt(begin, 1, "a", 1, 250*time.Millisecond)), AdmissionRun)
	assertVerdict(t, q.Arrive(begin, offerAt(begin, 2, "a", 1, 250*time.Millisecond)), AdmissionWait)
	assertVerdict(t, q.Arrive(begin, offerAt(begin, 3, "a", 1, 120*time.Millisecond)), AdmissionRefuse)
	nested := offerAt(begin, 4, "a", 1, 120*time.Millisecond).WithNested(true)
	assertVerdict(t, q.Arrive(begin, nested), AdmissionWait)
	assertStarted(t, q.Finish(begin, 1, true), 4)
}
