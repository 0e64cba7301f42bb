package blproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"basillift.dev/basillift/blpool"
)

// listener wraps each accepted connection, so that a handler can find it again
// and the watcher can cancel its call.
type listener struct {
	net.Listener
	watcher *watcher
}

// Accept waits for a connection. A connection that cannot be watched is still served.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // fasthttp recognises temporary errors by their type
	}
	c := &callerConn{Conn: raw, watcher: l.watcher}
	descriptor, err := blpool.DescriptorOf(raw)
	if err != nil {
		return c, nil
	}
	c.descriptor = descriptor
	_ = l.watcher.add(c)
	return c, nil
}

// callerConn is a connection on which a caller or another daemon sends requests.
type callerConn struct {
	net.Conn
	descriptor int
	id         uint64
	watcher    *watcher
	gone       atomic.Bool
	call       atomic.Pointer[call]
	closeOnce  sync.Once
}

func (c *callerConn) current() *call { return c.call.Load() }

// hangUp cancels the call in flight, and the next one, whose request may already be in a buffer.
func (c *callerConn) hangUp() {
	c.gone.Store(true)
	current := c.call.Load()
	if current != nil {
		current.cancel()
	}
}

// start ties a call to the connection. A caller that is already gone cancels it at once.
func (c *callerConn) start(k *call) {
	c.call.Store(k)
	if c.gone.Load() {
		k.cancel()
	}
}

func (c *callerConn) finish() { c.call.Store(nil) }

// abort makes the close that follows a reset, so that nobody takes the bytes sent so far as complete.
func (c *callerConn) abort() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok {
		_ = tcp.SetLinger(0)
	}
}

// Close ends the watch first: the descriptor's number may be given out again at once.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.watcher.remove(c) })
	err := c.Conn.Close()
	if err != nil {
		return fmt.Errorf("close caller connection: %w", err)
	}
	return nil
}
