package blpool

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooManyConnections means that an address has as many connections as its limit allows.
var ErrTooManyConnections = eris.New("too many connections to one address")

// Limits bounds the connections to one address.
type Limits struct {
	connections int
	idle        time.Duration
	connect     time.Duration
	silence     time.Duration
}

// NewLimits returns how many connections may be open at once, how long one may stay idle and how long
// opening one may take.
func NewLimits(connections int, idle, connect time.Duration) Limits {
	return Limits{connections: connections, idle: idle, connect: connect}
}

// WithSilence ends connections whose bytes stay unacknowledged, or whose probes
// stay unanswered, for the given time. Zero leaves it to the system.
func (l Limits) WithSilence(d time.Duration) Limits {
	l.silence = d
	return l
}

// Pool holds the connections to one address. The one used last is reused first,
// so that surplus connections grow old and are closed. It is safe for concurrent use.
type Pool struct {
	address string
	limits  Limits

	mutex  sync.Mutex
	idle   []*Conn
	open   int
	closed bool
	opened uint64
}

// New returns an empty pool.
func New(address string, l Limits) *Pool { return &Pool{address: address, limits: l} }

// Opened counts the connections that were opened.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Get returns an idle connection that is still usable, or opens a new one.
func (p *Pool) Get(now, deadline time.Time) (*Conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.idleFor && c.Usable() {
			return c, nil
		}
		p.Discard(c)
	}
	return p.dial(now, deadline)
}

func (p *Pool) takeIdle() *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(now, deadline time.Time) (*Conn, error) {
	if !p.reserve() {
		return nil, fmt.Errorf("connect to %s: %w", p.address, ErrTooManyConnections)
	}
	timeout := min(p.limits.connect, deadline.Sub(now))
	raw, err := net.DialTimeout("tcp", p.address, timeout)
	if err != nil {
		p.release()
		return nil, fmt.Errorf("connect: %w", err)
	}
	c, err := newConn(raw, p.limits)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

func (p *Pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open >= p.limits.connections || p.closed {
		return false
	}
	p.open++
	p.opened++
	return true
}

func (p *Pool) release() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// Put takes back a connection on which nothing is outstanding.
func (p *Pool) Put(now time.Time, c *Conn) {
	c.idleSince = now
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.Discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mutex.Unlock()
}

// Discard closes a connection that must not be used again.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release()
}

// Sweep closes the connections that were idle for too long and returns how many are left open.
func (p *Pool) Sweep(now time.Time) int {
	for _, c := range p.takeExpired(now) {
		p.Discard(c)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// takeExpired removes the connections that were idle for too long. They are at the front, because put appends.
func (p *Pool) takeExpired(now time.Time) []*Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idle[n].idleFor {
		n++
	}
	expired := append([]*Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return expired
}

// Close closes all idle connections; those in use are closed when they come back.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mutex.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}

// Set holds one pool for each address. It is safe for concurrent use.
type Set struct {
	limits func(address string) Limits
	mutex  sync.RWMutex
	byAddr map[string]*Pool
}

// NewSet returns an empty set; limits names the bounds of each address.
func NewSet(limits func(address string) Limits) *Set {
	return &Set{limits: limits, byAddr: map[string]*Pool{}}
}

// Of returns the pool of an address.
func (p *Set) Of(address string) *Pool {
	p.mutex.RLock()
	found := p.byAddr[address]
	p.mutex.RUnlock()
	if found != nil {
		return found
	}
	return p.add(address)
}

func (p *Set) add(address string) *Pool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byAddr[address]
	if found != nil {
		return found
	}
	added := New(address, p.limits(address))
	p.byAddr[address] = added
	return added
}

// Sweep closes old connections. Pools without connections stay: there is one for each daemon at most.
func (p *Set) Sweep(now time.Time) {
	for _, each := range p.all() {
		each.Sweep(now)
	}
}

// Close closes the pools of all addresses.
func (p *Set) Close() {
	for _, each := range p.all() {
		each.Close()
	}
}

func (p *Set) all() []*Pool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	all := make([]*Pool, 0, len(p.byAddr))
	for _, each := range p.byAddr {
		all = append(all, each)
	}
	return all
}
