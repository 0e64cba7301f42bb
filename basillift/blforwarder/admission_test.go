package blforwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift/bladmit"
)

// many is more than what any judgement of a desk needs.
const manyCalls = 50

// busyDesk is a desk that calls of one service and uploads from everywhere have come to; each kind has held slots for
// a time. The uploads found room to a share.
func busyAdmission(now time.Time, calls, uploads time.Duration, room float64) *admission {
	ad := newAdmission()
	for range manyCalls {
		for _, meta := range []requestMetadata{
			{route: "call", caller: "catalogue", rank: 1, parent: parentRequest{rank: 2, servedRatio: 1}},
			{route: "upload", caller: "catalogue", rank: 1, servedRatio: room, parent: parentRequest{rank: noParentRank}},
			{route: "upload", caller: "gallery", rank: 1, servedRatio: room, parent: parentRequest{rank: noParentRank}},
		} {
			ad.observeStart(ad.classify(now, meta))
		}
	}
	ad.observeEnd(requestMetadata{route: "call"}, calls)
	ad.observeEnd(requestMetadata{route: "upload"}, uploads)
	return ad
}

// Guards against uploads that starve behind calls of less urgent requests, and calls that stand back for nothing.
func TestCallsAtDesk(t *testing.T) {
	now := time.Now()
	call := requestMetadata{route: "call", caller: "catalogue", rank: 1, parent: parentRequest{rank: 2, servedRatio: 0.9}}
	for name, c := range map[string]struct {
		calls, uploads time.Duration
		room           float64
		hop            requestMetadata
		first          bool
		rank           int
	}{
		"calls go first":                          {time.Minute, time.Second, 0.9, call, true, 2},
		"calls in the way of something urgent":    {time.Minute, time.Second, 0.5, call, false, 2},
		"calls that take less":                    {time.Second, time.Minute, 0.5, call, true, 2},
		"calls of something as urgent":            {time.Minute, time.Second, 0.5, requestMetadata{route: "call", caller: "catalogue", parent: parentRequest{rank: 1, servedRatio: 0.9}}, true, 1},
		"calls of something that finds less room": {time.Minute, time.Second, 0.5, requestMetadata{route: "call", caller: "catalogue", parent: parentRequest{rank: 2, servedRatio: 0.4}}, true, 2},
		"calls of an unknown parent":              {time.Minute, time.Second, 0.5, requestMetadata{route: "call", caller: "catalogue", rank: 1, parent: parentRequest{rank: noParentRank}}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := busyAdmission(now, c.calls, c.uploads, c.room).classify(now, c.hop)
			is.True(got.nestedCall)
			is.Equal(got.highestRank, c.first)
			is.Equal(got.rank, c.rank)
		})
	}
	t.Run("callers' requests are no calls", func(t *testing.T) {
		is := is.New(t)
		got := busyAdmission(now, time.Minute, time.Second, 0.5).classify(now, requestMetadata{route: "upload", caller: "gallery", rank: 1})
		is.True(!got.nestedCall)
		is.True(!got.highestRank)
	})
	t.Run("first goes before all ranks", func(t *testing.T) {
		is := is.New(t)
		q := bladmit.NewDeadlineQueue(1)
		late := requestMetadata{route: "x", latencyObjective: hangGuard, softDeadline: now.Add(hangGuard), deadline: now.Add(hangGuard)}
		q.Arrive(now, late.slotRequest(1))
		q.Arrive(now, late.slotRequest(2))
		late.highestRank, late.rank = true, 2
		q.Arrive(now, late.slotRequest(3))
		is.Equal(q.Finish(now, 1, false), []uint64{3})
	})
	t.Run("what a call tells of its parent", func(t *testing.T) {
		is := is.New(t)
		ad := newAdmission()
		is.Equal(ad.likelyParent("call", 1).rank, noParentRank)
		for range 4 * manyCalls {
			ad.classify(now, requestMetadata{route: "lookup", rank: 2, servedRatio: 0.5})
		}
		ad.observeStart(requestMetadata{route: "lookup", rank: 2, retryProbability: 1})
		ad.observeStart(requestMetadata{route: "lookup", rank: 2})
		told := ad.likelyParent("call", 0.5)
		is.Equal(told.rank, 2)
		is.Equal(told.retryProbability, 0.5)
		is.True(told.servedRatio > 0.2 && told.servedRatio < 0.3)
	})
}

// Guards against values that another daemon reads differently.
func TestHopHeader(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := requestMetadata{
		instance: "i1", route: "l", rank: 2, servedRatio: 0.25, parent: parentRequest{rank: noParentRank, servedRatio: 0.75}, retryProbability: 0.5, retryable: true,
		latencyObjective: time.Second, softDeadline: now.Add(time.Second), deadline: now.Add(2 * time.Second), newestRevision: 7,
	}
	got, ok := parseMetadata(sent.format(now), now)
	is.True(ok)
	is.Equal(got, sent)
	_, ok = parseMetadata("i1 l 2", now)
	is.True(!ok)
}
