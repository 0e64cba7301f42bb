package blforwarder

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// waitLimits returns the limits of a request that arrives with the metadata.
func (t *targetSide) waitLimits(meta requestMetadata) waitLimits {
	return t.forwarder.instanceLimits(meta.instance).lower(waitLimits{answerBy: meta.answerBy})
}

// queueRefusal returns the queue's refusal of a request. This daemon or its target may serve no requests soon, whatever
// the queue expects.
func (t *targetSide) queueRefusal(refusal *answer, meta requestMetadata) *answer {
	f := t.forwarder
	refusal.nestedCall = meta.nestedCall
	refusal = f.withEvacuatedReason(refusal)
	if refusal.reason == basillift.ReasonOverload && (f.stopping.Load() || !f.leavingLimits(meta.instance).startBy.IsZero()) {
		refusal.reason, refusal.retryAfter, refusal.admission = basillift.ReasonDraining, 0, ""
	}
	return refusal
}

// preview returns what this daemon would decide now on a request for its own target: a refusal, or to run it or let it wait. It
// changes nothing. A quarantine is not part of it, since that depends on the whole request.
func (t *targetSide) preview(now time.Time, meta requestMetadata) (decision bladmit.AdmissionDecision, refusal *answer) {
	if refusal = t.unavailable(now, meta); refusal != nil {
		return decision, refusal
	}
	f := t.forwarder
	accepted := &acceptedRequest{instance: meta.instance, limits: f.accepted.restrict(t.waitLimits(meta))}
	decision, meta = f.admission.preview(now, accepted, meta)
	if decision.Result() == bladmit.AdmissionRefuse {
		refusal = t.queueRefusal(notRunAnswer(decision.Reason(), decision.RetryAfter()), meta)
	}
	return decision, refusal
}

// preview returns the decision of the queue on a request that would arrive now, and the request's metadata as classify returns
// it. It changes nothing.
func (ad *admission) preview(now time.Time, accepted *acceptedRequest, meta requestMetadata) (bladmit.AdmissionDecision, requestMetadata) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	meta.nestedCall = ad.nestedCalls.IsNested(meta.route)
	meta = ad.rankNestedCall(now, meta)
	queue := ad.queue.Clone(now)
	if ad.downEnded(now) {
		queue.Close(basillift.ReasonNone)
	}
	return queue.Arrive(now, accepted.slotRequest(meta)(ad.lastID+1)), meta
}

// downEnded reports whether a request that arrives now opens the queue again that markDown closed. It must be called with the
// mutex held.
func (ad *admission) downEnded(now time.Time) bool {
	return !ad.downUntil.IsZero() && !now.Before(ad.downUntil)
}

// likelyParent returns what attributeCall would return, and records nothing.
func (ad *admission) likelyParent(route string, servedRatio float64) parentRequest {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	estimate, known := ad.parents.LikelyParent(route)
	return ad.parentRequest(estimate, known, servedRatio)
}
