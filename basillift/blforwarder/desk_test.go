package blforwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift/bladmit"
)

// many is more than what any judgement of a desk needs.
const many = 50

// busyDesk is a desk that calls of one service and uploads from everywhere have come to; each kind has held slots for
// a time. The uploads found room to a share.
func busyDesk(now time.Time, calls, uploads time.Duration, room float64) *desk {
	d := newDesk()
	for range many {
		for _, h := range []hop{
			{lane: "call", caller: "catalogue", rank: 1, parent: parent{rank: 2, served: 1}},
			{lane: "upload", caller: "catalogue", rank: 1, served: room, parent: parent{rank: noParent}},
			{lane: "upload", caller: "gallery", rank: 1, served: room, parent: parent{rank: noParent}},
		} {
			d.started(d.arrived(now, h))
		}
	}
	d.ended(hop{lane: "call"}, calls)
	d.ended(hop{lane: "upload"}, uploads)
	return d
}

// Guards against uploads that starve behind calls of less urgent requests, and calls that stand back for nothing.
func TestCallsAtDesk(t *testing.T) {
	now := time.Now()
	call := hop{lane: "call", caller: "catalogue", rank: 1, parent: parent{rank: 2, served: 0.9}}
	for name, c := range map[string]struct {
		calls, uploads time.Duration
		room           float64
		hop            hop
		first          bool
		rank           int
	}{
		"calls go first":                          {time.Minute, time.Second, 0.9, call, true, 2},
		"calls in the way of something urgent":    {time.Minute, time.Second, 0.5, call, false, 2},
		"calls that take less":                    {time.Second, time.Minute, 0.5, call, true, 2},
		"calls of something as urgent":            {time.Minute, time.Second, 0.5, hop{lane: "call", caller: "catalogue", parent: parent{rank: 1, served: 0.9}}, true, 1},
		"calls of something that finds less room": {time.Minute, time.Second, 0.5, hop{lane: "call", caller: "catalogue", parent: parent{rank: 2, served: 0.4}}, true, 2},
		"calls of an unknown parent":              {time.Minute, time.Second, 0.5, hop{lane: "call", caller: "catalogue", rank: 1, parent: parent{rank: noParent}}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := busyDesk(now, c.calls, c.uploads, c.room).arrived(now, c.hop)
			is.True(got.nested)
			is.Equal(got.first, c.first)
			is.Equal(got.rank, c.rank)
		})
	}
	t.Run("callers' requests are no calls", func(t *testing.T) {
		is := is.New(t)
		got := busyDesk(now, time.Minute, time.Second, 0.5).arrived(now, hop{lane: "upload", caller: "gallery", rank: 1})
		is.True(!got.nested)
		is.True(!got.first)
	})
	t.Run("first goes before all ranks", func(t *testing.T) {
		is := is.New(t)
		q := bladmit.NewDeadlineQueue(1)
		late := hop{lane: "x", objective: hangGuard, goal: now.Add(hangGuard), deadline: now.Add(hangGuard)}
		q.Arrive(now, late.offer(1))
		q.Arrive(now, late.offer(2))
		late.first, late.rank = true, 2
		q.Arrive(now, late.offer(3))
		is.Equal(q.Finish(now, 1, false), []uint64{3})
	})
	t.Run("what a call tells of its parent", func(t *testing.T) {
		is := is.New(t)
		d := newDesk()
		is.Equal(d.parent("call", 1).rank, noParent)
		for range 4 * many {
			d.arrived(now, hop{lane: "lookup", rank: 2, served: 0.5})
		}
		d.started(hop{lane: "lookup", rank: 2, repeat: 1})
		d.started(hop{lane: "lookup", rank: 2})
		told := d.parent("call", 0.5)
		is.Equal(told.rank, 2)
		is.Equal(told.repeat, 0.5)
		is.True(told.served > 0.2 && told.served < 0.3)
	})
}

// Guards against values that another daemon reads differently.
func TestHopHeader(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := hop{
		instance: "i1", lane: "l", rank: 2, served: 0.25, parent: parent{rank: noParent, served: 0.75}, repeat: 0.5, repeatable: true,
		objective: time.Second, goal: now.Add(time.Second), deadline: now.Add(2 * time.Second), seen: 7,
	}
	got, ok := parseHop(sent.format(now), now)
	is.True(ok)
	is.Equal(got, sent)
	_, ok = parseHop("i1 l 2", now)
	is.True(!ok)
}
