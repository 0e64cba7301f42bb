package blproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"basillift.dev/basillift/blpool"
)

// listener wraps each accepted connection, so that a handler can find it and the disconnectWatcher
// can cancel its call.
type listener struct {
	net.Listener
	watcher *disconnectWatcher
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
	descriptor   int
	id           uint64
	watcher      *disconnectWatcher
	disconnected atomic.Bool
	call         atomic.Pointer[call]
	closeOnce    sync.Once
}

func (c *callerConn) current() *call { return c.call.Load() }

// markDisconnected cancels the call in flight. It also cancels the next call, whose request may
// already be in a buffer.
func (c *callerConn) markDisconnected() {
	c.disconnected.Store(true)
	current := c.call.Load()
	if current != nil {
		current.cancel()
	}
}

// setCall sets the call of the connection. If the caller has already disconnected, the call is
// canceled at once.
func (c *callerConn) setCall(k *call) {
	c.call.Store(k)
	if c.disconnected.Load() {
		k.cancel()
	}
}

func (c *callerConn) clearCall() { c.call.Store(nil) }

// resetOnClose makes the following close send a reset, so that the receiver does not treat the
// bytes sent so far as a complete response.
func (c *callerConn) resetOnClose() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok {
		_ = tcp.SetLinger(0)
	}
}

// Close stops watching before it closes the connection, because the kernel may reuse the
// descriptor number at once.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.watcher.remove(c) })
	err := c.Conn.Close()
	if err != nil {
		return fmt.Errorf("close caller connection: %w", err)
	}
	return nil
}
