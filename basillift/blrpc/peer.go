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
	// outboundSize is the number of notifications that wait for one peer.
	outboundSize = 256
	// backoffFirst and backoffLast bound the wait between two attempts to connect.
	// A connection that the peer opens ends the wait.
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 2 * time.Second
	// notifyTimeout bounds connecting for a notification.
	notifyTimeout = 2 * time.Second
)

type notification struct {
	method string
	params any
}

// peer is the sending side towards one VM: its connections and its queue.
type peer struct {
	pool     *Pool
	id       basillift.VMID
	outbound *blring.Ring[notification]

	// dialling is held while a connection is opened, so that waiting callers share it.
	dialling chan struct{}

	mutex   sync.Mutex
	links   []*link
	backoff time.Duration
	retryAt time.Time
	missed  *Announce
}

func newPeer(p *Pool, id basillift.VMID) *peer {
	return &peer{
		pool: p, id: id, outbound: blring.New[notification](outboundSize), dialling: make(chan struct{}, 1),
	}
}

// Notify queues a message that has no answer. When the queue is full the message is
// dropped and counted, except that of an announced version the newest is kept.
func (p *Pool) Notify(to basillift.VMID, method string, params any) {
	r := p.peer(to)
	p.unsent.Add(1)
	if r.outbound.Offer(notification{method: method, params: params}) {
		return
	}
	p.unsent.Add(-1)
	if a, ok := params.(Announce); ok {
		r.mutex.Lock()
		r.missed = &a
		r.mutex.Unlock()
		return
	}
	p.counters.dropped.Add(1)
}

// Pending is the number of messages that are queued or being sent.
func (p *Pool) Pending() int { return int(p.unsent.Load()) }

func (r *peer) loop(ctx context.Context) {
	defer r.pool.tasks.Done()
	for {
		n, ok := r.outbound.Take(ctx)
		if !ok {
			return
		}
		r.send(ctx, n)
		if a := r.takeMissed(); a != nil {
			r.pool.unsent.Add(1)
			r.send(ctx, notification{method: MethodAnnounce, params: *a})
		}
	}
}

func (r *peer) takeMissed() *Announce {
	if r.outbound.Len() > 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	a := r.missed
	r.missed = nil
	return a
}

func (r *peer) send(ctx context.Context, n notification) {
	defer r.pool.unsent.Add(-1)
	limited, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	l, err := r.connect(limited)
	if err != nil {
		r.pool.counters.dropped.Add(1)
		return
	}
	if n, ok := n.params.(Records); ok {
		r.sendRecords(limited, l, n)
		return
	}
	if err := l.conn.Notify(limited, n.method, n.params); err != nil {
		r.pool.counters.dropped.Add(1)
		l.close()
	}
}

// sendRecords joins the records that wait, so that a burst of changes costs one message.
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

// connect returns an open connection, dialling when there is none.
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
	if r.blocked(r.pool.clock()) {
		return nil, fmt.Errorf("connect to %s: last attempt failed: %w", r.id, basillift.ErrUnavailable)
	}
	address, found := r.pool.resolve(r.id)
	if !found {
		return nil, fmt.Errorf("connect to %s: address not known: %w", r.id, basillift.ErrUnavailable)
	}
	return r.dial(ctx, address)
}

func (r *peer) dial(ctx context.Context, address string) (*link, error) {
	l, theirs, err := r.pool.dial(ctx, address)
	if err != nil {
		r.postpone(r.pool.clock())
		return nil, fmt.Errorf("connect to %s: %w", r.id, err)
	}
	l.register(theirs)
	if basillift.VMID(theirs.Record.Name) != r.id {
		r.postpone(r.pool.clock())
		return nil, fmt.Errorf("connect to %s: %s: %w", r.id, theirs.Record.Name, errIdentity)
	}
	return l, nil
}

func (r *peer) blocked(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Before(r.retryAt)
}

func (r *peer) postpone(now time.Time) {
	r.mutex.Lock()
	r.backoff = min(max(2*r.backoff, backoffFirst), backoffLast)
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

// remove reports whether l was the last connection. slices.Delete clears the freed place,
// which otherwise holds the closed connection and its 1 MB for ever.
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

// current returns the connection to use. When both sides dialled at the same moment,
// both prefer the one dialled by the smaller VM id, so that the other falls idle.
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
