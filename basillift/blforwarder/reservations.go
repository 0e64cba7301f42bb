package blforwarder

import (
	"context"
	"time"

	"basillift.dev/basillift/bladmit"
)

// reservations is a slotQueue whose slots can be reserved for requests that have not arrived yet.
type reservations struct {
	slotQueue
	// lifetime is how long a slot stays reserved.
	lifetime time.Duration
	// byRequest holds the reserved slots by request id.
	byRequest map[string]reservation
}

// reservation is a slot that is reserved for a request.
type reservation struct {
	slot   uint64
	expiry *time.Timer
}

func newReservations(slots int, lifetime time.Duration) reservations {
	return reservations{slotQueue: newSlotQueue(slots), lifetime: lifetime, byRequest: make(map[string]reservation)}
}

// reserve waits for a slot and reserves it for a request, replacing an earlier reservation of the same request. It
// returns nil, or the refusal.
func (rs *reservations) reserve(ctx context.Context, now time.Time, accepted *acceptedRequest, slotRequest func(id uint64) bladmit.SlotRequest) (refusal *answer) {
	requestID := accepted.id
	slot, refusal := rs.acquire(ctx, now, accepted, slotRequest)
	if refusal != nil {
		return refusal
	}
	rs.mutex.Lock()
	replaced, known := rs.byRequest[requestID]
	rs.byRequest[requestID] = reservation{slot: slot, expiry: time.AfterFunc(rs.lifetime, func() { rs.releaseReserved(time.Now(), requestID, false) })}
	rs.mutex.Unlock()
	if known && replaced.expiry.Stop() {
		rs.release(now, replaced.slot, false)
	}
	return nil
}

// takeReserved removes the reservation of a request and returns its slot; false if there is none.
func (rs *reservations) takeReserved(requestID string) (slot uint64, known bool) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	r, known := rs.byRequest[requestID]
	if known {
		delete(rs.byRequest, requestID)
		r.expiry.Stop()
	}
	return r.slot, known
}

// releaseReserved frees the slot that is reserved for a request. observed is false if the request did not arrive.
func (rs *reservations) releaseReserved(now time.Time, requestID string, observed bool) {
	if slot, known := rs.takeReserved(requestID); known {
		rs.release(now, slot, observed)
	}
}
