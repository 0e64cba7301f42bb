package blforwarder

import (
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift/bladmit"
)

// acceptedRequest is a request at the target's daemon, from its arrival to its answer. Until it is sent to the target it may
// wait in several places: behind other suspects, for the VM's link, for a slot. Each place watches the limits of the request,
// and refuses it once it can't keep them.
type acceptedRequest struct {
	id       string
	instance string
	mutex    sync.Mutex
	limits   waitLimits
	// changed is closed when the limits change; nil if nothing waits for that.
	changed chan struct{}
}

// waitLimits bound the wait of a request besides its own deadlines. A zero time is no limit.
type waitLimits struct {
	// startBy is when a target that is leaving must not get requests any more.
	startBy time.Time
	// answerBy is when a daemon that is stopping needs the answer.
	answerBy time.Time
}

// lower returns the earlier limits of both.
func (l waitLimits) lower(other waitLimits) waitLimits {
	return waitLimits{startBy: earlier(l.startBy, other.startBy), answerBy: earlier(l.answerBy, other.answerBy)}
}

// earlier returns the earlier one of two times. A zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (a *acceptedRequest) currentLimits() waitLimits {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.limits
}

// latestStart returns the latest start by a deadline and the limits. serviceTime is how long the target runs the request.
func (a *acceptedRequest) latestStart(deadline time.Time, serviceTime time.Duration) time.Time {
	limits := a.currentLimits()
	return earlier(earlier(deadline, limits.answerBy).Add(-serviceTime), limits.startBy)
}

// changes returns a channel that is closed when the limits change.
func (a *acceptedRequest) changes() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// lower applies limits that are earlier than those of the request.
func (a *acceptedRequest) lower(limits waitLimits) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	lowered := a.limits.lower(limits)
	if lowered == a.limits {
		return
	}
	a.limits = lowered
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// slotRequest returns a function that asks a queue for a slot, by the limits at that time.
func (a *acceptedRequest) slotRequest(meta requestMetadata) func(id uint64) bladmit.SlotRequest {
	return func(id uint64) bladmit.SlotRequest {
		limits := a.currentLimits()
		return meta.slotRequest(id).WithAnswerBy(limits.answerBy).WithStartBy(limits.startBy)
	}
}

// acceptedRequests holds the requests at this daemon's target side.
type acceptedRequests struct {
	mutex    sync.Mutex
	requests map[*acceptedRequest]struct{}
	// limits are those of all requests: this daemon is stopping.
	limits waitLimits
}

func newAcceptedRequests() *acceptedRequests {
	return &acceptedRequests{requests: make(map[*acceptedRequest]struct{})}
}

// add records a request to an instance, with its limits. remove must follow.
func (as *acceptedRequests) add(id, instance string, limits waitLimits) *acceptedRequest {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	a := &acceptedRequest{id: id, instance: instance, limits: limits.lower(as.limits)}
	as.requests[a] = struct{}{}
	return a
}

// restrict returns the limits of a request together with those of all requests.
func (as *acceptedRequests) restrict(limits waitLimits) waitLimits {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	return limits.lower(as.limits)
}

func (as *acceptedRequests) remove(a *acceptedRequest) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	delete(as.requests, a)
}

// stop sets the time by which this daemon has to answer all requests, also those that arrive later.
func (as *acceptedRequests) stop(answerBy time.Time) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	as.limits = as.limits.lower(waitLimits{answerBy: answerBy})
	for a := range as.requests {
		a.lower(as.limits)
	}
}

// lowerInstances applies to each request the limits of the instance that it is for.
func (as *acceptedRequests) lowerInstances(limitsOf func(instance string) waitLimits) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	for a := range as.requests {
		a.lower(limitsOf(a.instance))
	}
}

// lower applies limits to the requests with these ids. It returns the ids that no request here has.
func (as *acceptedRequests) lower(ids []string, limits waitLimits) (missing []string) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = false
	}
	for a := range as.requests {
		if _, named := known[a.id]; named {
			a.lower(limits)
			known[a.id] = true
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return known[id] })
}
