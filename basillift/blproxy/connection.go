package blproxy

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bufferBytes is the size of the read and write buffers of a connection; a
// response header must fit into it.
const bufferBytes = 16 << 10

var errNotTCP = eris.New("connection has no file descriptor")

// connection is one connection to a daemon or to the target. It carries one call at a time.
type connection struct {
	net.Conn
	descriptor int
	reader     *bufio.Reader
	writer     *bufio.Writer
	// written counts the bytes of the current call that the kernel accepted.
	written   int64
	idleSince time.Time
	reused    bool
	// cut is set when the other copy of a hedged call closed the connection. The
	// call's mutex guards it.
	cut bool
}

func newConnection(raw net.Conn) (*connection, error) {
	descriptor, err := descriptorOf(raw)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: raw, descriptor: descriptor}
	c.reader = bufio.NewReaderSize(raw, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

// descriptorOf returns the file descriptor of a connection. It is valid only
// while the connection is certainly open.
func descriptorOf(raw net.Conn) (int, error) {
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
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write to %s: %w", c.RemoteAddr(), err)
	}
	return n, nil
}

// usable reports whether an idle connection is still open and silent. Bytes that
// arrive without a request would be taken as the answer to the next one. The
// caller owns the connection, so the descriptor cannot be closed meanwhile.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	ready := [1]unix.PollFd{{Fd: int32(c.descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(ready[:], 0)
	return n == 0 && err == nil
}

// begin prepares the connection for a call that must end by the deadline.
func (c *connection) begin(deadline time.Time) error {
	c.written = 0
	err := c.SetDeadline(deadline)
	if err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}
