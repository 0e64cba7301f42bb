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

// Notify queues a message that has no response. If the queue is full, the message is dropped
// and counted in Counters.Dropped. Announced versions are the exception: the last one is
// kept and sent later. Messages are also dropped if the peer cannot be reached.
func (p *Pool) Notify(to basillift.VMID, method string, params any) {
	pr := p.peer(to)
	p.unsent.Add(1)
	if pr.outbound.Offer(notification{method: method, params: params}) {
		return
	}
	p.unsent.Add(-1)
	if a, ok := params.(Announce); ok {
		pr.mutex.Lock()
		pr.pendingAnnounce = &a
		pr.mutex.Unlock()
		return
	}
	p.counters.dropped.Add(1)
}

// Pending returns the number of notifications that are queued or being sent, to all peers.
func (p *Pool) Pending() int { return int(p.unsent.Load()) }

func (pr *peer) loop(ctx context.Context) {
	defer pr.pool.tasks.Done()
	for {
		n, ok := pr.outbound.Take(ctx)
		if !ok {
			return
		}
		pr.send(ctx, n)
		if a := pr.takePendingAnnounce(); a != nil {
			pr.pool.unsent.Add(1)
			pr.send(ctx, notification{method: MethodAnnounce, params: *a})
		}
	}
}

func (pr *peer) takePendingAnnounce() *Announce {
	if pr.outbound.Len() > 0 {
		return nil
	}
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	a := pr.pendingAnnounce
	pr.pendingAnnounce = nil
	return a
}

func (pr *peer) send(ctx context.Context, n notification) {
	defer pr.pool.unsent.Add(-1)
	sendCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	l, err := pr.connect(sendCtx)
	if err != nil {
		pr.pool.counters.dropped.Add(1)
		return
	}
	if n, ok := n.params.(Records); ok {
		pr.sendRecords(sendCtx, l, n)
		return
	}
	if err := l.conn.Notify(sendCtx, n.method, n.params); err != nil {
		pr.pool.counters.dropped.Add(1)
		l.close()
	}
}

// sendRecords merges the queued records of the same cause into one message, so that a burst
// of changes needs only one.
func (pr *peer) sendRecords(ctx context.Context, l *link, first Records) {
	var next *notification
	for next == nil && pr.outbound.Len() > 0 {
		n, ok := pr.outbound.Take(ctx)
		if !ok {
			break
		}
		more, ok := n.params.(Records)
		if !ok || more.Cause != first.Cause {
			next = &n
			break
		}
		pr.pool.unsent.Add(-1)
		first.Records = append(first.Records[:len(first.Records):len(first.Records)], more.Records...)
		first.Claims = append(first.Claims[:len(first.Claims):len(first.Claims)], more.Claims...)
	}
	if err := l.conn.Notify(ctx, MethodRecords, first); err != nil {
		pr.pool.counters.dropped.Add(1)
		l.close()
	}
	if next != nil {
		pr.send(ctx, *next)
	}
}

// connect returns an open connection and dials if there is none. While the backoff lasts, it
// fails with basillift.ErrUnavailable.
func (pr *peer) connect(ctx context.Context) (*link, error) {
	if l := pr.current(); l != nil {
		return l, nil
	}
	select {
	case pr.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection to %s: %w", pr.id, ctx.Err())
	}
	defer func() { <-pr.dialling }()
	if l := pr.current(); l != nil {
		return l, nil
	}
	if pr.inBackoff(pr.pool.clock()) {
		return nil, fmt.Errorf("connect to %s: last attempt failed: %w", pr.id, basillift.ErrUnavailable)
	}
	address, found := pr.pool.resolve(pr.id)
	if !found {
		return nil, fmt.Errorf("connect to %s: address not known: %w", pr.id, basillift.ErrUnavailable)
	}
	return pr.dial(ctx, address)
}

func (pr *peer) dial(ctx context.Context, address string) (*link, error) {
	l, peerHello, err := pr.pool.dial(ctx, address)
	if err != nil {
		pr.scheduleRetry(pr.pool.clock())
		return nil, fmt.Errorf("connect to %s: %w", pr.id, err)
	}
	l.register(peerHello)
	if basillift.VMID(peerHello.Record.Name) != pr.id {
		pr.scheduleRetry(pr.pool.clock())
		return nil, fmt.Errorf("connect to %s: %s: %w", pr.id, peerHello.Record.Name, errWrongPeer)
	}
	return l, nil
}

func (pr *peer) inBackoff(now time.Time) bool {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	return now.Before(pr.retryAt)
}

func (pr *peer) scheduleRetry(now time.Time) {
	pr.mutex.Lock()
	pr.backoff = min(max(2*pr.backoff, minBackoff), maxBackoff)
	wait := pr.backoff
	pr.mutex.Unlock()
	wait = pr.pool.jitter(wait)
	pr.mutex.Lock()
	pr.retryAt = now.Add(wait)
	pr.mutex.Unlock()
}

func (pr *peer) add(l *link) {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	pr.links = append(pr.links, l)
	pr.backoff, pr.retryAt = 0, time.Time{}
}

// remove removes a connection and reports whether it was the last one. slices.Delete clears
// the freed element, which would otherwise keep the closed connection and its 1 MB of
// buffers in memory.
func (pr *peer) remove(l *link) bool {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	i := slices.Index(pr.links, l)
	if i < 0 {
		return false
	}
	pr.links = slices.Delete(pr.links, i, i+1)
	return len(pr.links) == 0
}

func (pr *peer) closeUnused() {
	pr.mutex.Lock()
	links := slices.Clone(pr.links)
	pr.mutex.Unlock()
	for _, l := range links {
		if !l.busy() {
			l.close()
		}
	}
}

// current returns the connection to use, or nil if none is open. If both sides dialled at the
// same time, both prefer the connection dialled by the VM with the smaller id, so that the
// other one becomes idle.
func (pr *peer) current() *link {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	var chosen *link
	for _, l := range pr.links {
		if l.closed() {
			continue
		}
		if chosen == nil || l.dialled == (pr.pool.self < pr.id) {
			chosen = l
		}
	}
	return chosen
}
