package bladmit

import (
	"fmt"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func request(id uint64, customer string, c basillift.Class) Request {
	return NewRequest(id, customer, c, epoch.Add(10*time.Second))
}

// busyQueue returns a queue whose only slot is occupied by request 1.
func busyQueue(length int) *Queue {
	q := NewQueue(NewQueueSettings(1, 10, length))
	q.Arrive(epoch, request(1, "first", basillift.ClassNormal))
	return q
}

func assertActions(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(got), len(want))
	for i := range want {
		is.Equal(got[i].Kind(), want[i].Kind())
		is.Equal(got[i].ID(), want[i].ID())
		is.Equal(got[i].Reason(), want[i].Reason())
	}
}

func run(id uint64) Action { return Action{kind: ActionRun, id: id} }

func refused(id uint64, r basillift.Reason) Action {
	return Action{kind: ActionRefuse, id: id, reason: r}
}

// Guards against a wrong order of service. It is by class, then by fairness, then by deadline.
func TestQueueOrder(t *testing.T) {
	normal, urgent := basillift.ClassNormal, basillift.ClassUrgent
	ms := func(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

	t.Run("class", func(t *testing.T) {
		q := busyQueue(10)
		q.Arrive(epoch, request(2, "bulky", basillift.ClassBulk))
		q.Arrive(epoch, request(3, "plain", normal))
		q.Arrive(epoch, request(4, "patrol", urgent))
		assertActions(t, q.Finish(ms(1), 1), run(4))
		assertActions(t, q.Finish(ms(2), 4), run(3))
	})
	t.Run("fairness", func(t *testing.T) {
		q := busyQueue(10)
		q.Arrive(epoch, request(2, "first", normal))
		q.Arrive(epoch, request(3, "first", normal))
		q.Arrive(epoch, request(4, "second", normal))
		assertActions(t, q.Finish(ms(1), 1), run(4))
		assertActions(t, q.Finish(ms(2), 4), run(2))
	})
	t.Run("deadline", func(t *testing.T) {
		q := busyQueue(10)
		q.Arrive(epoch, request(2, "second", normal))
		q.Arrive(epoch, NewRequest(3, "second", normal, ms(500)))
		assertActions(t, q.Finish(ms(1), 1), run(3))
	})
}

// Guards against queueing calls that can't end in time, and against a standing
// queue that delays all calls.
func TestQueueDelay(t *testing.T) {
	normal := basillift.ClassNormal

	t.Run("deadline too early", func(t *testing.T) {
		q := busyQueue(10)
		got := q.Arrive(epoch, NewRequest(2, "second", normal, epoch.Add(4*time.Millisecond)))
		assertActions(t, got, refused(2, basillift.ReasonDeadline))
	})
	t.Run("calls of a burst wait", func(t *testing.T) {
		q := busyQueue(10)
		q.Arrive(epoch, request(2, "second", normal))
		assertActions(t, q.Tick(epoch.Add(90*time.Millisecond)))
	})
	t.Run("calls of a standing queue are refused", func(t *testing.T) {
		q := busyQueue(10)
		q.Arrive(epoch, request(2, "second", normal))
		q.Arrive(epoch.Add(85*time.Millisecond), request(3, "second", normal))
		assertActions(t, q.Tick(epoch.Add(101*time.Millisecond)),
			refused(3, basillift.ReasonOverload), refused(2, basillift.ReasonOverload))
	})
}

// Guards against a queue that grows without bound or refuses the wrong calls when it is full.
func TestFullQueue(t *testing.T) {
	normal, urgent := basillift.ClassNormal, basillift.ClassUrgent

	t.Run("same customer", func(t *testing.T) {
		q := busyQueue(1)
		q.Arrive(epoch, request(2, "second", normal))
		assertActions(t, q.Arrive(epoch, request(3, "second", normal)), refused(3, basillift.ReasonOverload))
	})
	t.Run("better class", func(t *testing.T) {
		q := busyQueue(1)
		q.Arrive(epoch, request(2, "second", normal))
		assertActions(t, q.Arrive(epoch, request(3, "patrol", urgent)), refused(2, basillift.ReasonOverload))
	})
	t.Run("flooding customer", func(t *testing.T) {
		q := busyQueue(3)
		for id := uint64(2); id < 5; id++ {
			q.Arrive(epoch, request(id, "flood", normal))
		}
		assertActions(t, q.Arrive(epoch, request(9, "small", normal)), refused(2, basillift.ReasonOverload))
	})
}

// Guards against running calls that are refused or cancelled, and against new
// calls at a target that is draining.
func TestQueueDrainAndCancel(t *testing.T) {
	is := is.New(t)
	q := busyQueue(10)
	q.Arrive(epoch, request(2, "second", basillift.ClassNormal))
	q.Arrive(epoch, request(3, "second", basillift.ClassNormal))
	is.True(q.Cancel(epoch, 2))  // waiting
	is.True(!q.Cancel(epoch, 1)) // running
	assertActions(t, q.Drain(epoch), refused(3, basillift.ReasonDraining))
	assertActions(t, q.Arrive(epoch, request(4, "second", basillift.ClassNormal)), refused(4, basillift.ReasonDraining))
	assertActions(t, q.Finish(epoch, 1))
	is.Equal(q.Running(), 0)
}

// Guards against memory that grows with every customer that has ever called.
func TestQueueEvictsIdleCustomers(t *testing.T) {
	q := NewQueue(NewQueueSettings(1, 10, 10))
	for id := range uint64(10 * operationsPerEviction) {
		now := epoch.Add(time.Duration(id) * time.Millisecond)
		q.Arrive(now, NewRequest(id, fmt.Sprint(id), basillift.ClassNormal, now.Add(time.Second)))
		q.Finish(now.Add(time.Millisecond), id)
	}
	is.New(t).True(len(q.classes[1].flows) <= operationsPerEviction)
	is.New(t).Equal(len(q.entries), 0)
}
