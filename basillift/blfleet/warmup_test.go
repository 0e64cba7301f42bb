package blfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// Guards against a target that becomes cold again in its run and counts as warm, and against a warm-up that seems to last
// longer with each late entry.
func TestWarmupEnd(t *testing.T) {
	type write struct {
		arrived, coldLeft time.Duration
		sequence          uint64
		want              time.Duration
	}
	for name, writes := range map[string][]write{
		"one warm-up":                   {{0, 3 * time.Second, 1, 3 * time.Second}, {1900 * time.Millisecond, 1500 * time.Millisecond, 2, 3 * time.Second}},
		"an earlier end is nearer":      {{800 * time.Millisecond, 3 * time.Second, 1, 3800 * time.Millisecond}, {1600 * time.Millisecond, 1500 * time.Millisecond, 2, 3100 * time.Millisecond}},
		"the same entry arrives again":  {{0, 3 * time.Second, 1, 3 * time.Second}, {500 * time.Millisecond, 3 * time.Second, 1, 3 * time.Second}},
		"cold again after it was warm":  {{0, 0, 1, 0}, {1500 * time.Millisecond, 700 * time.Millisecond, 2, 2200 * time.Millisecond}},
		"cold again for as long":        {{0, 3 * time.Second, 1, 3 * time.Second}, {1500 * time.Millisecond, 3 * time.Second, 2, 4500 * time.Millisecond}},
		"cold again within its warm-up": {{0, 3 * time.Second, 1, 3 * time.Second}, {2500 * time.Millisecond, 2 * time.Second, 2, 4500 * time.Millisecond}},
		"warm by its next entry":        {{0, 3 * time.Second, 1, 3 * time.Second}, {1500 * time.Millisecond, 0, 2, 1500 * time.Millisecond}},
		"a warm target stays so":        {{0, 0, 1, 0}, {time.Minute, 0, 2, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := New()
			for i, w := range writes {
				e := basillift.NewEndpoint("i", "s", "a:1", "near", 9, basillift.TargetReady).WithStart(start, w.coldLeft).WithSequence(w.sequence)
				f.Apply(start.Add(w.arrived), basillift.NewRegistryEntry("k", basillift.Revision(i)+1).WithEndpoint(e))
				is.New(t).Equal(f.Targets("s")[0].WarmupEnd(), start.Add(w.want))
			}
		})
	}
}
