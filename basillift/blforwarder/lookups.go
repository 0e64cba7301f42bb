package blforwarder

import (
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

// lookups is what a caller's daemon looks up for a request in state that each request changes.
type lookups interface {
	// elapsedWait returns how long the caller has already waited, given its remaining time.
	elapsedWait(route string, remaining time.Duration) time.Duration
	// parent returns the parent of a nested call.
	parent(route string, servedRatio float64) parentRequest
	// service returns the service of a split route.
	service(route *basillift.Route) string
}

// recordingLookups records the request in each state.
type recordingLookups struct{ forwarder *Forwarder }

func (l recordingLookups) elapsedWait(route string, remaining time.Duration) time.Duration {
	return l.forwarder.elapsedWaits.Observe(route, remaining)
}

func (l recordingLookups) parent(route string, servedRatio float64) parentRequest {
	return l.forwarder.admission.attributeCall(route, servedRatio)
}

func (l recordingLookups) service(route *basillift.Route) string {
	return l.forwarder.splitter.Pick(route)
}

// previewLookups changes no state, for a request that is only explained.
type previewLookups struct{ forwarder *Forwarder }

func (l previewLookups) elapsedWait(route string, remaining time.Duration) time.Duration {
	return l.forwarder.elapsedWaits.Estimate(route, remaining)
}

func (l previewLookups) parent(route string, servedRatio float64) parentRequest {
	return l.forwarder.admission.likelyParent(route, servedRatio)
}

// service returns the service of the greatest weight if the split has not been used yet, since it then starts at random.
func (l previewLookups) service(route *basillift.Route) string {
	if service, known := l.forwarder.splitter.Preview(route); known {
		return service
	}
	best := route.Services()[0]
	for _, s := range route.Services() {
		if s.Weight() > best.Weight() {
			best = s
		}
	}
	return best.Service()
}

// findRoute returns the table in force and the route of a request, or the refusal of a request without a route.
func (c *callerSide) findRoute(r *request, currentTable func() *bltable.Table) (*bltable.Table, *basillift.Route, *answer) {
	if c.forwarder.refusesRequests.Load() {
		return nil, nil, notRunAnswer(basillift.ReasonDraining, defaultRetryAfter)
	}
	table := currentTable()
	if table == nil {
		return nil, nil, notRunAnswer(basillift.ReasonNoVersion, defaultRetryAfter)
	}
	route, found := table.Match(r.host, r.uri)
	if !found {
		return table, nil, rejectedAnswer(http.StatusNotFound, basillift.ReasonService)
	}
	return table, route, nil
}

// observeRefusal keeps the target that promised the earliest start, and when that is.
func (rr *routedRequest) observeRefusal(instance string, result blretry.AttemptResult, a *answer) {
	if result == blretry.AttemptRefused && a.retryAfter > 0 && (rr.earliestRetryAfter == 0 || a.retryAfter < rr.earliestRetryAfter) {
		rr.earliestRetryAfter = a.retryAfter
		rr.late.observe(instance, a)
	}
}
