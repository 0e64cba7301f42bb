package blproxy

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var errTooManyConnections = eris.New("too many connections to one address")

// pool holds the connections to one address. The one used last is reused first,
// so that surplus connections grow old and are closed.
type pool struct {
	address string
	idleFor time.Duration
	limit   int
	connect time.Duration

	mutex  sync.Mutex
	idle   []*connection
	open   int
	closed bool
}

// get returns an idle connection that is still usable, or opens a new one.
func (p *pool) get(now, deadline time.Time) (*connection, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < p.idleFor && c.usable() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(now, deadline)
}

func (p *pool) takeIdle() *connection {
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

func (p *pool) dial(now, deadline time.Time) (*connection, error) {
	if !p.reserve() {
		return nil, fmt.Errorf("connect to %s: %w", p.address, errTooManyConnections)
	}
	timeout := min(p.connect, deadline.Sub(now))
	raw, err := net.DialTimeout("tcp", p.address, timeout)
	if err != nil {
		p.release()
		return nil, fmt.Errorf("connect: %w", err)
	}
	c, err := newConnection(raw)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

func (p *pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open >= p.limit || p.closed {
		return false
	}
	p.open++
	return true
}

func (p *pool) release() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// put takes back a connection on which nothing is outstanding.
func (p *pool) put(now time.Time, c *connection) {
	c.idleSince = now
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mutex.Unlock()
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *connection) {
	_ = c.Close()
	p.release()
}

// sweep closes the connections that were idle for too long and returns how many are left open.
func (p *pool) sweep(now time.Time) int {
	for _, c := range p.takeExpired(now) {
		p.discard(c)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// takeExpired removes the connections that were idle for too long. They are at the front, because put appends.
func (p *pool) takeExpired(now time.Time) []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idleFor {
		n++
	}
	expired := append([]*connection(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return expired
}

// close closes all idle connections; those in use are closed when they come back.
func (p *pool) close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mutex.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// pools holds one pool for each address.
type pools struct {
	settings Settings
	mutex    sync.RWMutex
	byAddr   map[string]*pool
}

func newPools(s Settings) *pools {
	return &pools{settings: s, byAddr: map[string]*pool{}}
}

func (p *pools) of(address string) *pool {
	p.mutex.RLock()
	found := p.byAddr[address]
	p.mutex.RUnlock()
	if found != nil {
		return found
	}
	return p.add(address)
}

func (p *pools) add(address string) *pool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := p.byAddr[address]
	if found != nil {
		return found
	}
	added := &pool{
		address: address, idleFor: p.settings.meshIdle,
		limit: p.settings.connections, connect: p.settings.connectTimeout,
	}
	if address == p.settings.targetAddress {
		added.idleFor = p.settings.targetIdle
		added.limit = p.settings.targetLimit
	}
	p.byAddr[address] = added
	return added
}

// sweep closes old connections. Pools without connections stay: there is one for each daemon at most.
func (p *pools) sweep(now time.Time) {
	for _, each := range p.all() {
		each.sweep(now)
	}
}

func (p *pools) close() {
	for _, each := range p.all() {
		each.close()
	}
}

func (p *pools) all() []*pool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	all := make([]*pool, 0, len(p.byAddr))
	for _, each := range p.byAddr {
		all = append(all, each)
	}
	return all
}
