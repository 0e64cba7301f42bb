package blforwarder

import (
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift/bladmit"
)

// acceptedRequest is a request at the target's daemon, from its arrival to its answer. Until it is sent to the target it may
// wait in several places: behind other suspects, for the VM's link, for a slot. Each place watches the time by which the answer
// is needed, and refuses the request once it can't be answered by then.
type acceptedRequest struct {
	id       string
	mutex    sync.Mutex
	answerBy time.Time
	// changed is closed when answerBy changes; nil if nothing waits for that.
	changed chan struct{}
}

// limit returns the earlier one of a deadline and the time by which the answer is needed.
func (a *acceptedRequest) limit(deadline time.Time) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.answerBy.IsZero() || deadline.Before(a.answerBy) {
		return deadline
	}
	return a.answerBy
}

// changes returns a channel that is closed when the answer is needed earlier.
func (a *acceptedRequest) changes() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// lowerAnswerBy sets the time by which the answer is needed, unless it is needed earlier already. The zero time changes nothing.
func (a *acceptedRequest) lowerAnswerBy(t time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if t.IsZero() || !a.answerBy.IsZero() && !t.Before(a.answerBy) {
		return
	}
	a.answerBy = t
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// slotRequest returns a function that asks a queue for a slot, by the time by which the answer is needed then.
func (a *acceptedRequest) slotRequest(meta requestMetadata) func(id uint64) bladmit.SlotRequest {
	return func(id uint64) bladmit.SlotRequest { return meta.slotRequest(id).WithAnswerBy(a.limit(meta.deadline)) }
}

// acceptedRequests holds the requests at this daemon's target side.
type acceptedRequests struct {
	mutex    sync.Mutex
	requests map[*acceptedRequest]struct{}
	// answerBy is when this daemon, which is stopping, ends all requests; zero if it is not stopping.
	answerBy time.Time
}

func newAcceptedRequests() *acceptedRequests {
	return &acceptedRequests{requests: make(map[*acceptedRequest]struct{})}
}

// add records a request whose answer is needed by a time; zero if only its deadline matters. remove must follow.
func (as *acceptedRequests) add(id string, answerBy time.Time) *acceptedRequest {
	a := &acceptedRequest{id: id, answerBy: answerBy}
	as.mutex.Lock()
	defer as.mutex.Unlock()
	a.lowerAnswerBy(as.answerBy)
	as.requests[a] = struct{}{}
	return a
}

func (as *acceptedRequests) remove(a *acceptedRequest) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	delete(as.requests, a)
}

// lowerAll sets the time by which this daemon has to answer all requests, also those that arrive later.
func (as *acceptedRequests) lowerAll(answerBy time.Time) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	as.answerBy = answerBy
	for a := range as.requests {
		a.lowerAnswerBy(answerBy)
	}
}

// lower sets the time by which the answers to the requests with these ids are needed. It returns the ids that no request here
// has.
func (as *acceptedRequests) lower(ids []string, answerBy time.Time) (missing []string) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = false
	}
	for a := range as.requests {
		if _, named := known[a.id]; named {
			a.lowerAnswerBy(answerBy)
			known[a.id] = true
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return known[id] })
}
