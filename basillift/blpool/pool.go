package blpool

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooManyConnections means that the pool of an address is closed or has as many connections as its limit allows.
var ErrTooManyConnections = eris.New("too many connections to one address")

// Limits bounds the connections to one address.
type Limits struct {
	maxConnections int
	maxIdle        time.Duration
	connectTimeout time.Duration
	userTimeout    time.Duration
	gate           Gate
}

// Gate bounds the connections of several pools together.
type Gate interface {
	// Acquire reports whether one more connection may be opened. If so, Release must follow when it is closed.
	Acquire() bool
	Release()
}

// NewLimits returns limits for the number of open connections, the idle time of a connection and the time to open one.
func NewLimits(maxConnections int, maxIdle, connectTimeout time.Duration) Limits {
	return Limits{maxConnections: maxConnections, maxIdle: maxIdle, connectTimeout: connectTimeout}
}

// WithTCPUserTimeout returns a copy with a TCP user timeout: the kernel closes connections whose bytes stay
// unacknowledged or whose keep-alive probes stay unanswered for the given time. 0 keeps the defaults of the system.
func (l Limits) WithTCPUserTimeout(d time.Duration) Limits {
	l.userTimeout = d
	return l
}

// WithGate returns a copy with a bound that several pools share.
func (l Limits) WithGate(g Gate) Limits {
	l.gate = g
	return l
}

// Pool is a pool of connections to one address. The most recently used connection is reused first, so that surplus
// connections reach their idle timeout and are closed. It is safe for concurrent use.
type Pool struct {
	address string
	limits  Limits

	mutex           sync.Mutex
	idle            []*Conn
	openConnections int
	closed          bool
	opened          uint64
}

// New returns an empty pool for an address of the form host:port.
func New(address string, l Limits) *Pool { return &Pool{address: address, limits: l} }

// Opened returns the number of connections that the pool has tried to open since its start.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Get returns an idle connection that is still usable, or opens a new one. It discards idle connections that are
// expired or unusable. The error wraps ErrTooManyConnections if no connection may be opened.
func (p *Pool) Get(now, deadline time.Time) (*Conn, error) {
	var closed *Conn
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		expired := now.Sub(c.idleSince) >= c.maxIdle
		if !expired && c.Usable() {
			return c, nil
		}
		if !expired {
			closed = c
		}
		p.Discard(c)
	}
	c, err := p.dial(now, deadline)
	if err == nil && closed != nil && !p.anyOlderThan(closed) {
		c.closedSince = closed.idleSince
	}
	return c, err
}

// Open opens a new connection even if an idle one is usable, since open connections may be silent while new ones work.
// Its errors are those of Get.
func (p *Pool) Open(now, deadline time.Time) (*Conn, error) { return p.dial(now, deadline) }

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
	timeout := min(p.limits.connectTimeout, deadline.Sub(now))
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
	c.opened = time.Now()
	return c, nil
}

// AnyIdle reports whether a usable connection is idle that was opened before the given time.
func (p *Pool) AnyIdle(openedBefore time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.opened.Before(openedBefore) && c.Usable() })
}

// anyOlderThan reports whether a connection is in use that was opened before the given one became idle: more are in use than were
// opened since then.
func (p *Pool) anyOlderThan(c *Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return uint64(p.openConnections-len(p.idle)) > p.opened-c.openedWhenIdle
}

func (p *Pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.openConnections >= p.limits.maxConnections || p.closed {
		return false
	}
	if p.limits.gate != nil && !p.limits.gate.Acquire() {
		return false
	}
	p.openConnections++
	p.opened++
	return true
}

func (p *Pool) release() {
	p.mutex.Lock()
	p.openConnections--
	p.mutex.Unlock()
	if p.limits.gate != nil {
		p.limits.gate.Release()
	}
}

// Put returns a connection to the pool. The last exchange on it must be complete.
func (p *Pool) Put(now time.Time, c *Conn) {
	c.idleSince = now
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.Discard(c)
		return
	}
	c.openedWhenIdle, c.closedSince = p.opened, time.Time{}
	p.idle = append(p.idle, c)
	p.mutex.Unlock()
}

// Discard closes a connection of the pool that must not be reused.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release()
}

// Sweep closes the connections whose idle time has expired and returns how many connections stay open.
func (p *Pool) Sweep(now time.Time) int {
	for _, c := range p.takeExpired(now) {
		p.Discard(c)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.openConnections
}

// takeExpired removes and returns the connections whose idle time has expired. Put appends, so the connections that
// have been idle longest are at the front. The search stops at the first one that has not expired, even if the server
// shortened the idle time of a later one.
func (p *Pool) takeExpired(now time.Time) []*Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idle[n].maxIdle {
		n++
	}
	expired := append([]*Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return expired
}

// Close closes all idle connections. Connections in use are closed when they are returned by Put.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mutex.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}

// Set is a set of pools, one for each address. It is safe for concurrent use.
type Set struct {
	limits    func(address string) Limits
	mutex     sync.RWMutex
	byAddress map[string]*Pool
}

// NewSet returns an empty set. The function limits returns the limits of an address.
func NewSet(limits func(address string) Limits) *Set {
	return &Set{limits: limits, byAddress: map[string]*Pool{}}
}

// Of returns the pool of an address and creates it if needed.
func (s *Set) Of(address string) *Pool {
	s.mutex.RLock()
	pool := s.byAddress[address]
	s.mutex.RUnlock()
	if pool != nil {
		return pool
	}
	return s.add(address)
}

func (s *Set) add(address string) *Pool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pool := s.byAddress[address]
	if pool != nil {
		return pool
	}
	added := New(address, s.limits(address))
	s.byAddress[address] = added
	return added
}

// Sweep closes expired connections in all pools. Pools without connections stay, because there is at most one for each
// daemon.
func (s *Set) Sweep(now time.Time) {
	for _, pool := range s.pools() {
		pool.Sweep(now)
	}
}

// Close closes the pools of all addresses that are in the set.
func (s *Set) Close() {
	for _, pool := range s.pools() {
		pool.Close()
	}
}

func (s *Set) pools() []*Pool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	all := make([]*Pool, 0, len(s.byAddress))
	for _, pool := range s.byAddress {
		all = append(all, pool)
	}
	return all
}
