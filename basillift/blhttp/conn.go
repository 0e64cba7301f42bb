package blhttp

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// chunkBytes is the largest chunk that a checked connection returns.
const chunkBytes = 8 << 10

// conn is a connection whose reads return checked responses.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head is that of the current response, and body its rest; nil between two responses.
	head *Head
	body io.Reader
	// pending are checked bytes that were not read yet.
	pending []byte
	err     error
}

// NewConn returns a connection of a client whose Read returns responses in the form of Head.AppendTo, and fails where one is
// malformed. Interim responses are dropped. The client must send its requests one after the other, and none with the method HEAD or
// CONNECT.
func NewConn(c net.Conn) net.Conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, maxHeadBytes)}
}

// Dial opens a connection of NewConn to an address of the form host:port.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return NewConn(c), nil
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 && c.err == nil {
		if c.body == nil {
			c.err = c.readHead()
			continue
		}
		if !c.head.chunked {
			n, err := c.body.Read(p)
			c.endBody(err)
			if n > 0 {
				return n, nil
			}
			continue
		}
		c.readChunk()
	}
	if len(c.pending) == 0 {
		return 0, c.err
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *conn) readHead() error {
	h, err := ReadHead(c.reader, http.MethodGet)
	if err != nil {
		if errors.Is(err, io.EOF) {
			// Callers compare it, to tell an idle connection that was closed.
			return io.EOF
		}
		return err
	}
	c.pending = h.AppendTo(c.pending[:0])
	if h.length != 0 && !h.bodyless {
		c.head, c.body = h, h.Body(c.reader)
	}
	return nil
}

// readChunk reads a part of a body in chunks and frames it again.
func (c *conn) readChunk() {
	data := make([]byte, chunkBytes)
	n, err := c.body.Read(data)
	if n > 0 {
		c.pending = fmt.Appendf(c.pending[:0], "%x\r\n%s\r\n", n, data[:n])
	}
	if errors.Is(err, io.EOF) {
		c.pending = append(c.pending, "0\r\n\r\n"...)
	}
	c.endBody(err)
}

// endBody ends a body after the error of a read, nil for none. A body that ends with the connection is followed by io.EOF.
func (c *conn) endBody(err error) {
	if err == nil {
		return
	}
	if !errors.Is(err, io.EOF) || c.head.length == LengthUntilClose {
		c.err = err
	}
	c.body = nil
}

// CheckResponses makes a transport open its connections with a dialer and read checked responses only. It returns the transport,
// which uses HTTP/1.1.
func CheckResponses(t *http.Transport, dialer *net.Dialer) *http.Transport {
	t.DialContext = checkedDial(dialer.DialContext)
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		secured := &tls.Dialer{NetDialer: dialer, Config: t.TLSClientConfig}
		return checkedDial(secured.DialContext)(ctx, network, address)
	}
	return t
}

// dialFunc opens a connection, as in http.Transport.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func checkedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return NewConn(c), nil
	}
}
