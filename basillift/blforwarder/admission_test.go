package blforwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift/bladmit"
)

// manyCalls is more observations than the nested call detector and the served ratios need.
const manyCalls = 50

// busyAdmission returns an admission that has classified nested calls of one service and uploads of two services,
// with the given total service time of each. uploadsServed is the served ratio of the uploads.
func busyAdmission(now time.Time, calls, uploads time.Duration, uploadsServed float64) *admission {
	ad := newAdmission()
	for range manyCalls {
		for _, meta := range []requestMetadata{
			{route: "call", callerService: "catalogue", rank: 1, parent: parentRequest{rank: 2, servedRatio: 1}},
			{route: "upload", callerService: "catalogue", rank: 1, servedRatio: uploadsServed, parent: parentRequest{rank: noParentRank}},
			{route: "upload", callerService: "gallery", rank: 1, servedRatio: uploadsServed, parent: parentRequest{rank: noParentRank}},
		} {
			ad.observeStart(ad.classify(now, meta))
		}
	}
	ad.observeEnd(requestMetadata{route: "call"}, calls)
	ad.observeEnd(requestMetadata{route: "upload"}, uploads)
	return ad
}

// Guards against uploads that starve behind nested calls of less urgent requests, and against nested calls that yield
// although they delay nothing.
func TestNestedCallAdmission(t *testing.T) {
	now := time.Now()
	call := requestMetadata{route: "call", callerService: "catalogue", rank: 1, parent: parentRequest{rank: 2, servedRatio: 0.9}}
	for name, c := range map[string]struct {
		calls, uploads time.Duration
		uploadsServed  float64
		meta           requestMetadata
		bestRank       bool
		rank           int
	}{
		"nested calls are admitted first":             {time.Minute, time.Second, 0.9, call, true, 2},
		"nested calls that delay a more urgent route": {time.Minute, time.Second, 0.5, call, false, 2},
		"nested calls with less service time":         {time.Second, time.Minute, 0.5, call, true, 2},
		"parent of the same rank":                     {time.Minute, time.Second, 0.5, requestMetadata{route: "call", callerService: "catalogue", parent: parentRequest{rank: 1, servedRatio: 0.9}}, true, 1},
		"parent with a lower served ratio":            {time.Minute, time.Second, 0.5, requestMetadata{route: "call", callerService: "catalogue", parent: parentRequest{rank: 2, servedRatio: 0.4}}, true, 2},
		"unknown parent":                              {time.Minute, time.Second, 0.5, requestMetadata{route: "call", callerService: "catalogue", rank: 1, parent: parentRequest{rank: noParentRank}}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := busyAdmission(now, c.calls, c.uploads, c.uploadsServed).classify(now, c.meta)
			is.True(got.nestedCall)
			is.Equal(got.bestRank, c.bestRank)
			is.Equal(got.rank, c.rank)
		})
	}
	t.Run("requests of several services are not nested", func(t *testing.T) {
		is := is.New(t)
		got := busyAdmission(now, time.Minute, time.Second, 0.5).classify(now, requestMetadata{route: "upload", callerService: "gallery", rank: 1})
		is.True(!got.nestedCall)
		is.True(!got.bestRank)
	})
	t.Run("the highest rank goes before all others", func(t *testing.T) {
		is := is.New(t)
		q := bladmit.NewDeadlineQueue(1)
		late := requestMetadata{route: "x", latencyObjective: hangGuard, softDeadline: now.Add(hangGuard), deadline: now.Add(hangGuard)}
		q.Arrive(now, late.slotRequest(1))
		q.Arrive(now, late.slotRequest(2))
		late.bestRank, late.rank = true, 2
		q.Arrive(now, late.slotRequest(3))
		is.Equal(q.Finish(now, 1, false), []uint64{3})
	})
	t.Run("metadata of the parent", func(t *testing.T) {
		is := is.New(t)
		ad := newAdmission()
		is.Equal(ad.attributeCall("call", 1).rank, noParentRank)
		for range 4 * manyCalls {
			ad.classify(now, requestMetadata{route: "lookup", rank: 2, servedRatio: 0.5})
		}
		ad.observeStart(requestMetadata{route: "lookup", rank: 2, retryProbability: 1})
		ad.observeStart(requestMetadata{route: "lookup", rank: 2})
		parent := ad.attributeCall("call", 0.5)
		is.Equal(parent.rank, 2)
		is.Equal(parent.retryProbability, 0.5)
		is.True(parent.servedRatio > 0.2 && parent.servedRatio < 0.3)
	})
}

// Guards against metadata that the target's daemon decodes to other values. The encoding is in headers.go.
func TestMetadataRoundTrip(t *testing.T) {
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
