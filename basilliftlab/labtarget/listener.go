package labtarget

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the number of open connections and simulates the cost of opening
// one. A connection above the limit is closed at once, as a server without free
// connections does.
type listener struct {
	net.Listener
	maxConnections  int
	connectionDelay time.Duration
	openCount       atomic.Int64
	closedCount     atomic.Int64
}

// Accept returns the next connection within the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		if l.openCount.Load() < int64(l.maxConnections) {
			l.openCount.Add(1)
			return &connection{Conn: c, listener: l}, nil
		}
		l.closedCount.Add(1)
		_ = c.Close()
	}
}

// connection is counted as open by its listener until it is closed.
type connection struct {
	net.Conn
	listener  *listener
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read delays the first read by the simulated cost of opening the connection.
func (c *connection) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.connectionDelay) })
	return c.Conn.Read(b) //nolint:wrapcheck // net/http compares errors of connections by identity.
}

// Close closes the connection. Only the first call reduces the number of open
// connections.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { c.listener.openCount.Add(-1) })
	return c.Conn.Close() //nolint:wrapcheck // net/http compares errors of connections by identity.
}
