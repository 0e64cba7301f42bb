package bladmit

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertNothingShared fails if two values of one type share a map, a slice or a pointer. Times are immutable and may share a zone.
func assertNothingShared(t *testing.T, name string, a, b reflect.Value) {
	t.Helper()
	switch a.Kind() {
	case reflect.Map, reflect.Slice, reflect.Pointer:
		if !a.IsNil() && a.Pointer() == b.Pointer() {
			t.Errorf("%s is shared", name)
		}
	}
	switch {
	case a.Type() == reflect.TypeFor[time.Time]():
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			assertNothingShared(t, name+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Pointer && !a.IsNil():
		assertNothingShared(t, name, a.Elem(), b.Elem())
	case a.Kind() == reflect.Slice && a.Len() > 0:
		for i := range a.Len() {
			assertNothingShared(t, fmt.Sprintf("%s[%d]", name, i), a.Index(i), b.Index(i))
		}
	case a.Kind() == reflect.Map:
		for _, k := range a.MapKeys() {
			assertNothingShared(t, fmt.Sprintf("%s[%v]", name, k), a.MapIndex(k), b.MapIndex(k))
		}
	}
}

// queueUnderLoad returns a queue in a state that depends on the seed, and the time of its last change.
func queueUnderLoad(seed int64) (*DeadlineQueue, time.Time, *rand.Rand) {
	rnd := rand.New(rand.NewSource(seed))
	now := time.Unix(1_800_000_000, 0)
	q := NewDeadlineQueue(1 + rnd.Intn(4))
	if rnd.Intn(2) == 0 {
		q.SetRequestLimit(now, 1+50*rnd.Float64(), true)
	}
	if rnd.Intn(2) == 0 {
		q.SetColdLimit(now, 1+20*rnd.Float64(), true)
	}
	for id := range uint64(40) {
		now = now.Add(time.Duration(rnd.Intn(30)) * time.Millisecond)
		q.Arrive(now, randomSlotRequest(rnd, now, id))
		for running := range id + 1 {
			if rnd.Intn(4) == 0 {
				q.Finish(now, running, true)
			}
		}
	}
	return q, now, rnd
}

func randomSlotRequest(rnd *rand.Rand, now time.Time, id uint64) SlotRequest {
	objective := time.Duration(50+rnd.Intn(600)) * time.Millisecond
	return NewSlotRequest(id, fmt.Sprint("r", rnd.Intn(3)), rnd.Intn(3), now.Add(objective), now.Add(2*objective)).WithLatencyObjective(objective)
}

// Guards against an explanation that changes the queue, and against one that decides otherwise than the queue.
func TestCloneOfDeadlineQueue(t *testing.T) {
	results := map[AdmissionResult]int{}
	for seed := range int64(300) {
		is := is.New(t)
		q, now, rnd := queueUnderLoad(seed)
		now = now.Add(time.Duration(rnd.Intn(100)) * time.Millisecond)
		assertNothingShared(t, "queue", reflect.ValueOf(*q), reflect.ValueOf(*q.Clone(now)))
		r := randomSlotRequest(rnd, now, 100)
		load, backlog, returnsNext := q.Load(), q.Backlog(now), q.limit.nextReturn
		preview := q.Clone(now).Arrive(now, r)
		is.Equal(q.Load(), load)
		is.Equal(q.Backlog(now), backlog)
		is.Equal(q.limit.nextReturn, returnsNext)
		decision := q.Arrive(now, r)
		is.Equal(preview.Result(), decision.Result())
		is.Equal(preview.Reason(), decision.Reason())
		is.Equal(preview.WaitUntil(), decision.WaitUntil())
		is.True((preview.RetryAfter() - decision.RetryAfter()).Abs() < time.Microsecond)
		results[decision.Result()]++
	}
	is.New(t).True(results[AdmissionRun] > 0 && results[AdmissionWait] > 0 && results[AdmissionRefuse] > 0)
}

// Guards against an explanation that teaches the estimators something.
func TestEstimatesLearnNothing(t *testing.T) {
	t.Run("elapsed wait", func(t *testing.T) {
		is := is.New(t)
		e := NewElapsedWaitEstimator()
		for range minCommonTimeoutCount - 1 {
			e.Observe("r", time.Second)
		}
		for range 2 {
			is.Equal(e.Estimate("r", 600*time.Millisecond), time.Duration(0))
			is.Equal(e.Estimate("r", time.Second), time.Duration(0))
		}
		e.Observe("r", time.Second)
		is.Equal(e.Estimate("r", 600*time.Millisecond), 400*time.Millisecond)
		is.Equal(e.routes["r"].total, minCommonTimeoutCount)
		is.Equal(e.Estimate("unknown", time.Second), time.Duration(0))
		is.Equal(len(e.routes), 1)
	})
	t.Run("parent", func(t *testing.T) {
		is := is.New(t)
		e := NewParentEstimator()
		_, found := e.LikelyParent("call")
		is.True(!found)
		e.Started("parent", 3, 0)
		likely, found := e.LikelyParent("call")
		is.True(found)
		is.Equal(len(e.callCounts), 0)
		parent, _ := e.AttributeCall("call")
		is.Equal(likely, parent)
	})
}
