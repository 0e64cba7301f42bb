package blforwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
	"basillift.dev/basillift/blhttp"
)

const (
	// maxConcurrentTransfers is how many large bodies cross a slow link at the same time. The sender's link is rarely
	// faster, so one body fills it, and a second one would only delay small requests.
	maxConcurrentTransfers = 1
	// maxTransferTime is how long a reserved transfer may take until the next one may start: a body of 512 KB takes
	// 0.8 s on a link of 5 Mbit/s.
	maxTransferTime = 1500 * time.Millisecond
)

// transferQueue serializes the transfer of large bodies over the VM's slow link. Several concurrent transfers would
// delay all other requests for longer than the transfers take one after the other. In the embedded reservations, a slot
// is the use of the link and a service time is a transfer time.
//
// This file also holds both ends of the request for a reservation, of a transfer or of a slot, and the load report.
type transferQueue struct{ reservations }

func newTransferQueue() *transferQueue {
	return &transferQueue{reservations: newReservations(maxConcurrentTransfers, maxTransferTime)}
}

// reserveTransfer waits until the body of a request may be sent. serviceTime is how long the target will run the request
// after the transfer; it is subtracted from both deadlines.
func (tq *transferQueue) reserveTransfer(ctx context.Context, now time.Time, accepted *acceptedRequest, meta requestMetadata, serviceTime time.Duration) (refusal *answer) {
	slotRequest := func(id uint64) bladmit.SlotRequest {
		transfer := meta
		transfer.softDeadline, transfer.deadline = meta.softDeadline.Add(-serviceTime), meta.deadline.Add(-serviceTime)
		return transfer.slotRequest(id).WithStartBy(accepted.latestStart(meta.deadline, serviceTime))
	}
	return tq.reserve(ctx, now, accepted, slotRequest)
}

// endTransfer ends a transfer. observed is false if its time must not be counted, because the body did not arrive or
// was streamed while the request ran.
func (tq *transferQueue) endTransfer(now time.Time, requestID string, observed bool) {
	tq.releaseReserved(now, requestID, observed)
}

// trackRequest ends the transfer of a request that may have had a reservation. The returned function must be called
// when the request has ended.
func (tq *transferQueue) trackRequest(r *request, id string) (ended func()) {
	if r.buffered() {
		tq.endTransfer(r.arrived, id, true)
		return func() {}
	}
	// The rest of the body arrives while the request runs.
	return func() { tq.endTransfer(time.Now(), id, false) }
}

// backlog returns how long the next large body has to wait.
func (tq *transferQueue) backlog(now time.Time) time.Duration {
	tq.mutex.Lock()
	defer tq.mutex.Unlock()
	return tq.queue.Backlog(now)
}

// serveReservation answers a daemon that asks whether it may send a large body. With a slow link it reserves the
// transfer, and the request waits for a slot of the target after its body has arrived; otherwise it reserves that slot.
func (t *targetSide) serveReservation(ctx context.Context, r *request, meta requestMetadata) *answer {
	f := t.forwarder
	now := time.Now()
	meta.callerService = r.header(f.settings.headerNames.Caller())
	accepted := t.accept(r, meta)
	defer f.accepted.remove(accepted)
	// Only after accept: from then on the request learns of an evacuation.
	refusal := t.checkAvailable(now, meta)
	switch {
	case refusal != nil:
	case f.transfers != nil:
		refusal = f.transfers.reserveTransfer(ctx, now, accepted, meta, f.admission.serviceTimeBound(meta))
	default:
		refusal = f.admission.reserve(ctx, now, accepted, accepted.slotRequest(f.admission.classify(now, meta)))
	}
	a := &answer{status: http.StatusOK, outcome: basillift.OutcomeDone}
	if refusal != nil {
		f.peers.recordRefusedSlot(now)
		a = f.withEvacuatedReason(refusal)
	}
	a.load = t.loadReport()
	return a
}

// loadReport returns the load of the target, with the backlog of the VM's link if that is slow.
func (t *targetSide) loadReport() *basillift.Load {
	now := time.Now()
	l := t.forwarder.admission.load().WithAdvisory(t.forwarder.advisories.Advisory(now, t.forwarder.ownTarget("")))
	if t.forwarder.transfers != nil {
		l = l.WithSlowLink(t.forwarder.transfers.backlog(now))
	}
	l = t.forwarder.cold.report(now, l)
	return &l
}

// requestReservation asks a target's daemon for a reservation for a large body. A nil refusal means that it is granted.
func (c *callerSide) requestReservation(ctx context.Context, rr *routedRequest, daemon string) (refusal *answer, err error) {
	f := c.forwarder
	now := time.Now()
	e := f.newExchange(daemon, &request{method: http.MethodGet}, c.reservationHeader(rr, daemon, now), rr.metadata.deadline)
	received, err := e.run(ctx, now)
	if err != nil {
		return nil, fmt.Errorf("request reservation: %w", err)
	}
	a := &received.answer
	a.parseInternalHeaders()
	f.gossip.ObserveRevision(a.newestRevision)
	if a.outcome == basillift.OutcomeDone {
		return nil, nil
	}
	return a, nil
}

func (c *callerSide) reservationHeader(rr *routedRequest, daemon string, now time.Time) []byte {
	names := c.forwarder.settings.headerNames
	metadata := rr.metadata
	metadata.newestRevision = c.forwarder.gossip.NewestRevision()
	b := append([]byte("GET / HTTP/1.1\r\nHost: "), daemon...)
	b = append(b, "\r\n"...)
	b = blhttp.AppendField(b, names.RequestID(), rr.request.header(names.RequestID()))
	b = blhttp.AppendField(b, names.Caller(), c.forwarder.settings.service)
	b = blhttp.AppendField(b, headerPermit, "1")
	b = blhttp.AppendField(b, headerHop, metadata.format(now))
	b = metadata.appendLate(metadata.appendAnswerBy(b, now))
	return append(b, "\r\n"...)
}
