package blrpc

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blring"
)

const (
	// outboundQueueSize is the capacity of a peer's queue, in notifications.
	outboundQueueSize = 256
	// minBackoff and maxBackoff are the bounds of the exponential backoff, before jitter,
	// between two attempts to connect. A connection opened by the peer ends the backoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// notifyTimeout is the deadline for sending a notification, including the connect.
	notifyTimeout = 2 * time.Second
)

type notification struct {
	method string
	params any
}

// peer holds the connections to one VM and the queue of notifications for it.
type peer struct {
	pool     *Pool
	id       basillift.VMID
	outbound *blring.Ring[notification]

	// dialling is a semaphore that is held while a connection is opened, so that concurrent
	// callers share this connection.
	dialling chan struct{}

	mutex           sync.Mutex
	links           []*link
	backoff         time.Duration
	retryAt         time.Time
	pendingAnnounce *Announce
}

func newPeer(p *Pool, id basillift.VMID) *peer {
	return &peer{
		pool: p, id: id, outbound: blring.New[notification](outboundQueueSize), dialling: make(chan struct{}, 1),
	}
}

// Notify queues a message that has no answer. If the queue is full, the message is dropped
// and counted in Counters.Dropped. Announced versions are the exception: the last one is
// kept and sent later. Messages are also dropped if the peer cannot be reached.
func (p *Pool) Notify(to basillift.VMID, method string, params any) {
	r := p.peer(to)
	p.unsent.Add(1)
	if r.outbound.Offer(notification{method: method, params: params}) {
		return
	}
	p.unsent.Add(-1)
	if a, ok := params.(Announce); ok {
		r.mutex.Lock()
		r.pendingAnnounce = &a
		r.mutex.Unlock()
		return
	}
	p.counters.dropped.Add(1)
}

// Pending returns the number of notifications that are queued or being sent, to all peers.
func (p *Pool) Pending() int { return int(p.unsent.Load()) }

func (r *peer) loop(ctx context.Context) {
	defer r.pool.tasks.Done()
	for {
		n, ok := r.outbound.Take(ctx)
		if !ok {
			return
		}
		r.send(ctx, n)
		if a := r.takePendingAnnounce(); a != nil {
			r.pool.unsent.Add(1)
			r.send(ctx, notification{method: MethodAnnounce, params: *a})
		}
	}
}

func (r *peer) takePendingAnnounce() *Announce {
	if r.outbound.Len() > 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	a := r.pendingAnnounce
	r.pendingAnnounce = nil
	return a
}

func (r *peer) send(ctx context.Context, n notification) {
	defer r.pool.unsent.Add(-1)
	sendCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	l, err := r.connect(sendCtx)
	if err != nil {
		r.pool.counters.dropped.Add(1)
		return
	}
	if n, ok := n.params.(Records); ok {
		r.sendRecords(sendCtx, l, n)
		return
	}
	if err := l.conn.Notify(sendCtx, n.method, n.params); err != nil {
		r.pool.counters.dropped.Add(1)
		l.close()
	}
}

// sendRecords merges the queued records of the same cause into one message, so that a burst
// of changes needs only one.
func (r *peer) sendRecords(ctx context.Context, l *link, first Records) {
	var next *notification
	for next == nil && r.outbound.Len() > 0 {
		n, ok := r.outbound.Take(ctx)
		if !ok {
			break
		}
		more, ok := n.params.(Records)
		if !ok || more.Cause != first.Cause {
			next = &n
			break
		}
		r.pool.unsent.Add(-1)
		first.Records = append(first.Records[:len(first.Records):len(first.Records)], more.Records...)
		first.Claims = append(first.Claims[:len(first.Claims):len(first.Claims)], more.Claims...)
	}
	if err := l.conn.Notify(ctx, MethodRecords, first); err != nil {
		r.pool.counters.dropped.Add(1)
		l.close()
	}
	if next != nil {
		r.send(ctx, *next)
	}
}

// connect returns an open connection and dials if there is none. While the backoff lasts, it
// fails with basillift.ErrUnavailable.
func (r *peer) connect(ctx context.Context) (*link, error) {
	if l := r.current(); l != nil {
		return l, nil
	}
	select {
	case r.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection to %s: %w", r.id, ctx.Err())
	}
	defer func() { <-r.dialling }()
	if l := r.current(); l != nil {
		return l, nil
	}
	if r.inBackoff(r.pool.clock()) {
		return nil, fmt.Errorf("connect to %s: last attempt failed: %w", r.id, basillift.ErrUnavailable)
	}
	address, found := r.pool.resolve(r.id)
	if !found {
		return nil, fmt.Errorf("connect to %s: address not known: %w", r.id, basillift.ErrUnavailable)
	}
	return r.dial(ctx, address)
}

func (r *peer) dial(ctx context.Context, address string) (*link, error) {
	l, peerHello, err := r.pool.dial(ctx, address)
	if err != nil {
		r.scheduleRetry(r.pool.clock())
		return nil, fmt.Errorf("connect to %s: %w", r.id, err)
	}
	l.register(peerHello)
	if basillift.VMID(peerHello.Record.Name) != r.id {
		r.scheduleRetry(r.pool.clock())
		return nil, fmt.Errorf("connect to %s: %s: %w", r.id, peerHello.Record.Name, errWrongPeer)
	}
	return l, nil
}

func (r *peer) inBackoff(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Before(r.retryAt)
}

func (r *peer) scheduleRetry(now time.Time) {
	r.mutex.Lock()
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	wait := r.backoff
	r.mutex.Unlock()
	wait = r.pool.jitter(wait)
	r.mutex.Lock()
	r.retryAt = now.Add(wait)
	r.mutex.Unlock()
}

func (r *peer) add(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.links = append(r.links, l)
	r.backoff, r.retryAt = 0, time.Time{}
}

// remove removes a connection and reports whether it was the last one. slices.Delete clears
// the freed element, which would otherwise keep the closed connection and its 1 MB of
// buffers in memory.
func (r *peer) remove(l *link) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := slices.Index(r.links, l)
	if i < 0 {
		return false
	}
	r.links = slices.Delete(r.links, i, i+1)
	return len(r.links) == 0
}

func (r *peer) closeUnused() {
	r.mutex.Lock()
	links := slices.Clone(r.links)
	r.mutex.Unlock()
	for _, l := range links {
		if !l.busy() {
			l.close()
		}
	}
}

// current returns the connection to use, or nil if none is open. If both sides dialled at the
// same time, both prefer the connection dialled by the VM with the smaller id, so that the
// other one becomes idle.
func (r *peer) current() *link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var chosen *link
	for _, l := range r.links {
		if l.closed() {
			continue
		}
		if chosen == nil || l.dialled == (r.pool.self < r.id) {
			chosen = l
		}
	}
	return chosen
}
