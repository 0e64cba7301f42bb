package blpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// BufferBytes is the size of the read and write buffers of a connection; a
// response header must fit into it.
const BufferBytes = 16 << 10

var errNotTCP = eris.New("connection has no file descriptor")

// Conn is one connection to a daemon or to the target. It carries one call at a time.
type Conn struct {
	net.Conn
	descriptor int
	reader     *bufio.Reader
	writer     *bufio.Writer
	// written counts the bytes of the current call that the kernel accepted.
	written   int64
	idleSince time.Time
	// idleFor bounds how long the connection may stay idle; the server can shorten it.
	idleFor time.Duration
}

func newConn(raw net.Conn, l Limits) (*Conn, error) {
	descriptor, err := DescriptorOf(raw)
	if err == nil && l.silence > 0 {
		err = SetSilenceLimit(descriptor, l.silence)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c := &Conn{Conn: raw, descriptor: descriptor, idleFor: l.idle}
	c.reader = bufio.NewReaderSize(raw, BufferBytes)
	c.writer = bufio.NewWriterSize(c, BufferBytes)
	return c, nil
}

// Keep-alive probes end a connection whose peer went silent while an answer is awaited. The system counts in
// whole seconds; a connection that is used every other second sends none.
const (
	probeIdle  = 2
	probeEvery = 1
	probes     = 2
)

// SetSilenceLimit makes the system end a connection whose peer stays silent for the given time, whether bytes
// are outstanding or not.
func SetSilenceLimit(descriptor int, silence time.Duration) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdle},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeEvery},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds())},
	}
	for _, o := range options {
		if err := unix.SetsockoptInt(descriptor, o.level, o.name, o.value); err != nil {
			return fmt.Errorf("limit silence of connection: %w", err)
		}
	}
	return nil
}

// SilenceLimitControl returns a function for net.Dialer that limits the silence of each connection.
func SilenceLimitControl(silence time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(descriptor uintptr) { failed = SetSilenceLimit(int(descriptor), silence) })
		return errors.Join(err, failed)
	}
}

// DescriptorOf returns the file descriptor of a connection. It is valid only
// while the connection is certainly open.
func DescriptorOf(raw net.Conn) (int, error) {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("find descriptor: %w", errNotTCP)
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("find descriptor: %w", err)
	}
	descriptor := 0
	err = rc.Control(func(fd uintptr) { descriptor = int(fd) })
	if err != nil {
		return 0, fmt.Errorf("find descriptor: %w", err)
	}
	return descriptor, nil
}

// Write counts what the kernel accepted, which tells "not-run" from "unknown".
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write to %s: %w", c.RemoteAddr(), err)
	}
	return n, nil
}

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// Writer returns the buffered writer of the connection.
func (c *Conn) Writer() *bufio.Writer { return c.writer }

// Written counts the bytes of the current call that the kernel accepted.
func (c *Conn) Written() int64 { return c.written }

// ShortenIdle lowers how long the connection may stay idle, as the server has announced.
func (c *Conn) ShortenIdle(d time.Duration) { c.idleFor = min(c.idleFor, d) }

// Usable reports whether an idle connection is still open and silent. Bytes that
// arrive without a request would be taken as the answer to the next one. The
// caller owns the connection, so the descriptor cannot be closed meanwhile.
func (c *Conn) Usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	ready := [1]unix.PollFd{{Fd: int32(c.descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(ready[:], 0)
	return n == 0 && err == nil
}

// Begin prepares the connection for a call that must end by the deadline.
func (c *Conn) Begin(deadline time.Time) error {
	c.written = 0
	err := c.SetDeadline(deadline)
	if err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}
