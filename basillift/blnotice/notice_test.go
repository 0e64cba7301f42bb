package blnotice

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var start = time.Unix(1000, 0)

// fleet is a group of observers and notifiers that exchange only reports.
type fleet struct {
	observers []*Observer
	trackers  []*AlertTracker
	sent      map[Phase]int
}

func newFleet(n int) *fleet {
	f := &fleet{sent: map[Phase]int{}}
	for range n {
		f.observers = append(f.observers, NewObserver())
		f.trackers = append(f.trackers, NewAlertTracker())
	}
	return f
}

// step runs one round: every observer reports its due conditions to the notifier.
func (f *fleet) step(now time.Time, notifier int, holds bool) {
	var conditions []Condition
	if holds {
		conditions = []Condition{NewCondition(KindNoTarget, "orders", "no target accepts requests")}
	}
	tracker := f.trackers[notifier]
	for _, o := range f.observers {
		for _, r := range o.Observe(now, conditions) {
			if _, due := tracker.Report(now, r); due {
				f.sent[PhaseOpen]++
			}
			o.MarkSent(r.Condition().ID())
		}
	}
	f.sent[PhaseClosed] += len(tracker.CloseExpired(now))
}

func (f *fleet) run(from, to int, notifier int, holds func(second int) bool) {
	for second := from; second < to; second++ {
		f.step(start.Add(time.Duration(second)*time.Second), notifier, holds(second))
	}
}

func always(int) bool { return true }
func never(int) bool  { return false }

func assertSent(t *testing.T, f *fleet, open, closed int) {
	t.Helper()
	is := is.New(t)
	is.Equal(f.sent[PhaseOpen], open)
	is.Equal(f.sent[PhaseClosed], closed)
}

// Guards against an alert for which more than one notice or none is sent.
func TestOneNoticePerAlert(t *testing.T) {
	t.Run("many observers", func(t *testing.T) {
		f := newFleet(5)
		f.run(0, 300, 0, always)
		assertSent(t, f, 1, 0)
	})
	t.Run("a short condition sends no notice", func(t *testing.T) {
		f := newFleet(3)
		f.run(0, 9, 0, always)
		f.run(9, 200, 0, never)
		assertSent(t, f, 0, 0)
	})
	t.Run("the closing is sent once", func(t *testing.T) {
		f := newFleet(3)
		f.run(0, 60, 0, always)
		f.run(60, 300, 0, never)
		assertSent(t, f, 1, 1)
	})
	t.Run("a flapping condition is one alert", func(t *testing.T) {
		f := newFleet(3)
		f.run(0, 600, 0, func(second int) bool { return second%40 < 20 })
		assertSent(t, f, 1, 0)
	})
	t.Run("a new notifier does not send the notice again", func(t *testing.T) {
		f := newFleet(3)
		f.run(0, 60, 0, always)
		f.run(60, 300, 1, always)
		assertSent(t, f, 1, 0)
	})
	t.Run("a condition that returns opens a new alert", func(t *testing.T) {
		f := newFleet(3)
		f.run(0, 60, 0, always)
		f.run(60, 200, 0, never)
		f.run(200, 260, 0, always)
		assertSent(t, f, 2, 1)
	})
}

// Guards against a notice that is lost because its delivery failed once.
func TestFailedDeliveryIsRetried(t *testing.T) {
	is := is.New(t)
	tracker := NewAlertTracker()
	r := NewReport(NewCondition(KindPlatform, "platform", ""), start, false)
	_, due := tracker.Report(start, r)
	is.True(due)
	tracker.Discard(r.Condition().ID())
	_, due = tracker.Report(start.Add(ReportInterval), r)
	is.True(due)
}

// Guards against ids that differ between the two sides of a partition, so that the receiver cannot
// deduplicate their notices.
func TestIDDoesNotDependOnTheSender(t *testing.T) {
	is := is.New(t)
	a := NewCondition(KindPartitioned, "burlington", "seen from nashua")
	b := NewCondition(KindPartitioned, "burlington", "seen from bangor")
	is.Equal(a.ID(), b.ID())
}

// Guards against daemons with the same view that choose different notifiers.
func TestNotifier(t *testing.T) {
	is := is.New(t)
	var members []basillift.Status
	for i := range 20 {
		m := basillift.NewMember(basillift.VMID(fmt.Sprintf("vm%d", i)), 1, basillift.Addresses{}, basillift.Place{}, "s", 1)
		members = append(members, basillift.NewStatus(m, basillift.LivenessAlive, false))
	}
	want := Notifier(members)
	rand.New(rand.NewSource(1)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	is.Equal(Notifier(members), want)
	for i, m := range members {
		if m.Member().ID() == want {
			members[i] = basillift.NewStatus(m.Member(), basillift.LivenessDead, false)
		}
	}
	is.True(Notifier(members) != want)
	is.Equal(Notifier(nil), basillift.VMID(""))
}

// Guards against a false alert after a restart of the whole mesh: for up to 15 s some daemons consider a
// failure domain partitioned although it is not.
func TestPartitionOpensLater(t *testing.T) {
	is := is.New(t)
	o := NewObserver()
	conditions := []Condition{NewCondition(KindPartitioned, "bangor", "")}
	for second := range 30 {
		is.Equal(len(o.Observe(start.Add(time.Duration(second)*time.Second), conditions)), 0)
	}
	is.Equal(len(o.Observe(start.Add(30*time.Second), conditions)), 1)
}
