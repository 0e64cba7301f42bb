package labtarget

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener bounds the open connections and charges the cost of a new one. A
// connection above the limit is closed at once, as a full server does.
type listener struct {
	net.Listener
	limit   int
	cost    time.Duration
	open    atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		if l.open.Load() < int64(l.limit) {
			l.open.Add(1)
			return &connection{Conn: c, listener: l}, nil
		}
		l.refused.Add(1)
		_ = c.Close()
	}
}

// connection gives its place back when it is closed.
type connection struct {
	net.Conn
	listener *listener
	cost     sync.Once
	once     sync.Once
}

// Read delays the first bytes of a connection by its cost.
func (c *connection) Read(b []byte) (int, error) {
	c.cost.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(b) //nolint:wrapcheck // net/http compares errors of connections by identity.
}

// Close closes the connection once.
func (c *connection) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close() //nolint:wrapcheck // net/http compares errors of connections by identity.
}
