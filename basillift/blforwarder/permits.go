package blforwarder

import (
	"context"
	"time"

	"basillift.dev/basillift/bladmit"
)

// permits is a gate whose slots are kept for requests that are still to come.
type permits struct {
	gate
	// lifetime is how long a slot is kept.
	lifetime time.Duration
	// kept holds the slots by the id of the request.
	kept map[string]permit
}

// permit is a slot that is kept for a request.
type permit struct {
	slot   uint64
	expiry *time.Timer
}

func newPermits(slots int, lifetime time.Duration) permits {
	return permits{gate: newGate(slots), lifetime: lifetime, kept: make(map[string]permit)}
}

// reserve waits for a slot and keeps it for a request. It returns why there is none.
func (p *permits) reserve(ctx context.Context, now time.Time, request string, offer func(id uint64) bladmit.SlotRequest) (refusal *answer) {
	slot, refusal := p.enter(ctx, now, offer)
	if refusal != nil {
		return refusal
	}
	p.mutex.Lock()
	replaced, known := p.kept[request]
	p.kept[request] = permit{slot: slot, expiry: time.AfterFunc(p.lifetime, func() { p.release(time.Now(), request, false) })}
	p.mutex.Unlock()
	if known && replaced.expiry.Stop() {
		p.leave(now, replaced.slot, false)
	}
	return nil
}

// claim takes the slot that is kept for a request; false if there is none.
func (p *permits) claim(request string) (slot uint64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k, known := p.kept[request]
	if known {
		delete(p.kept, request)
		k.expiry.Stop()
	}
	return k.slot, known
}

// release frees the slot that is kept for a request. Observed is false if the request did not come.
func (p *permits) release(now time.Time, request string, observed bool) {
	if slot, known := p.claim(request); known {
		p.leave(now, slot, observed)
	}
}
