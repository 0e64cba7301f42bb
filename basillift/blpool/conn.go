package blpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// BufferBytes is the size of the read buffer and of the write buffer of a connection. A response header must fit into
// it.
const BufferBytes = 16 << 10

var errNoDescriptor = eris.New("connection has no file descriptor")

// Conn is a connection to another daemon or to the target. It carries one call at a time and is not safe for
// concurrent use.
type Conn struct {
	net.Conn
	descriptor int
	reader     *bufio.Reader
	writer     *bufio.Writer
	// written is the number of bytes of the current call that the kernel accepted.
	written int64
	// calls counts the calls on the connection.
	calls int
	// onRead is called after bytes have arrived during the current call; nil for no function.
	onRead    func()
	opened    time.Time
	idleSince time.Time
	// openedWhenIdle is how many connections the pool had opened when this one became idle.
	openedWhenIdle uint64
	// closedSince is the value of Replaces; zero for none.
	closedSince time.Time
	// userTimeout is the TCP user timeout; 0 for the default of the system. pauseAllowed is set while a longer one holds.
	userTimeout  time.Duration
	pauseAllowed bool
	// maxIdle is how long the connection may stay idle. The server can shorten it.
	maxIdle time.Duration
}

func newConn(raw net.Conn, l Limits) (*Conn, error) {
	descriptor, err := DescriptorOf(raw)
	if err == nil && l.userTimeout > 0 {
		err = SetTCPUserTimeout(descriptor, l.userTimeout)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c := &Conn{Conn: raw, descriptor: descriptor, maxIdle: l.maxIdle, userTimeout: l.userTimeout}
	c.reader = bufio.NewReaderSize(c, BufferBytes)
	c.writer = bufio.NewWriterSize(c, BufferBytes)
	return c, nil
}

// TCP keep-alive settings. Keep-alive probes detect a silent peer while a call waits for the answer. The kernel takes
// whole seconds. A connection that is used every other second sends no probes.
const (
	keepAliveIdleSeconds     = 2
	keepAliveIntervalSeconds = 1
	keepAliveProbes          = 2
)

// SetTCPUserTimeout sets the TCP user timeout and enables TCP keep-alive, so that the kernel closes a connection
// whose peer stays silent for the given time, with or without unacknowledged bytes.
func SetTCPUserTimeout(descriptor int, userTimeout time.Duration) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleSeconds},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
	}
	for _, o := range options {
		if err := unix.SetsockoptInt(descriptor, o.level, o.name, o.value); err != nil {
			return fmt.Errorf("set TCP keep-alive and user timeout: %w", err)
		}
	}
	return nil
}

// TCPUserTimeoutControl returns a ControlContext function for net.Dialer that calls SetTCPUserTimeout on each
// connection.
func TCPUserTimeoutControl(userTimeout time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(descriptor uintptr) { setErr = SetTCPUserTimeout(int(descriptor), userTimeout) })
		return errors.Join(err, setErr)
	}
}

// DescriptorOf returns the file descriptor of a connection. It is valid only while the caller ensures that the
// connection stays open.
func DescriptorOf(raw net.Conn) (int, error) {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("get file descriptor: %w", errNoDescriptor)
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("get file descriptor: %w", err)
	}
	descriptor := 0
	err = rc.Control(func(fd uintptr) { descriptor = int(fd) })
	if err != nil {
		return 0, fmt.Errorf("get file descriptor: %w", err)
	}
	return descriptor, nil
}

// Write writes to the connection and counts the bytes that the kernel accepted. A call that fails before the kernel
// accepted any has the outcome "not-run" instead of "unknown".
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write to %s: %w", c.RemoteAddr(), err)
	}
	return n, nil
}

// ConnectionBroken reports whether the error of a write means that the connection broke before the peer had closed its side. The
// kernel reports such an error only once: a later read returns io.EOF, as it does behind the last byte of a peer that has closed its
// side. A reset after that is EPIPE.
func ConnectionBroken(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "write" && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read reads from the connection and calls the function of OnRead.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.onRead != nil {
		c.onRead()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// AllowPause raises the TCP user timeout until the end of the call, for a call whose request the peer may read slowly: the kernel
// takes a peer that reads nothing for that time for one that is gone.
func (c *Conn) AllowPause(d time.Duration) {
	if c.userTimeout > 0 && d > c.userTimeout {
		// On an error the shorter timeout stays.
		c.pauseAllowed = SetTCPUserTimeout(c.descriptor, d) == nil
	}
}

// OnRead sets a function that is called whenever bytes arrive until the call ends.
func (c *Conn) OnRead(f func()) { c.onRead = f }

// Reader returns the buffered reader of the connection. Its buffer has BufferBytes.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// Writer returns the buffered writer of the connection. Written counts only flushed bytes.
func (c *Conn) Writer() *bufio.Writer { return c.writer }

// Written returns the number of bytes of the current call that the kernel accepted.
func (c *Conn) Written() int64 { return c.written }

// ShortenIdle lowers the maximum idle time to the one that the server announced. It never raises it.
func (c *Conn) ShortenIdle(d time.Duration) { c.maxIdle = min(c.maxIdle, d) }

// ResetOnClose makes Close discard what the peer has not received yet and reset the connection.
func (c *Conn) ResetOnClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// Usable reports whether an idle connection is still open and has no unread bytes. Bytes that arrive without a request
// would be read as the answer to the next one. The caller owns the connection, so the descriptor is not closed
// concurrently.
func (c *Conn) Usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	pollFDs := [1]unix.PollFd{{Fd: int32(c.descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs[:], 0)
	return n == 0 && err == nil
}

// PeerClosed reports whether the peer has closed the connection, even if there are unread bytes.
func PeerClosed(c syscall.Conn) (bool, error) { return poll(c, unix.POLLRDHUP) }

// Readable reports whether a connection has unread bytes or was closed by its peer, or whether a listener has a connection to
// accept. Unlike a read with a short deadline it also tells that to a process that had no time to run before the deadline.
func Readable(c syscall.Conn) (bool, error) { return poll(c, unix.POLLIN) }

// ReadableDescriptor is like Readable for a descriptor. As the function of syscall.RawConn.Read it lets that wait without a
// buffer.
func ReadableDescriptor(descriptor uintptr) bool {
	pollFDs := [1]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
	n, err := unix.Poll(pollFDs[:], 0)
	return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
}

// poll reports whether one of the events is pending.
func poll(c syscall.Conn, events int16) (bool, error) {
	rc, err := c.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("get file descriptor: %w", err)
	}
	pending := false
	err = rc.Control(func(fd uintptr) {
		pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
		n, pollErr := unix.Poll(pollFDs[:], 0)
		pending = n > 0 && pollErr == nil
	})
	if err != nil {
		return false, fmt.Errorf("poll socket: %w", err)
	}
	return pending, nil
}

// Opened returns when the connection was opened.
func (c *Conn) Opened() time.Time { return c.opened }

// UsedBefore returns when the last call before the current one ended, or when the connection was opened: a time at which the peer
// was there.
func (c *Conn) UsedBefore() time.Time {
	if c.idleSince.IsZero() {
		return c.opened
	}
	return c.idleSince
}

// Replaces reports whether the connection was opened for the current call because the peer had closed all idle ones, and none from
// before was in use. The peer may have closed them at any time since the returned one, when the least recently used of them was used
// last.
func (c *Conn) Replaces() (since time.Time, closed bool) {
	return c.closedSince, !c.closedSince.IsZero()
}

// Reused reports whether the current call is not the first one on the connection.
func (c *Conn) Reused() bool { return c.calls > 1 }

// Begin resets the count of written bytes and sets the read and write deadline for a new call.
func (c *Conn) Begin(deadline time.Time) error {
	c.written, c.onRead = 0, nil
	c.calls++
	if err := c.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if c.pauseAllowed {
		c.pauseAllowed = false
		return SetTCPUserTimeout(c.descriptor, c.userTimeout)
	}
	return nil
}
