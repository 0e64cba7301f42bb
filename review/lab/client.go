package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection to the outbound address of a machine.
type client struct {
	world  *world
	on     *machine
	conn   net.Conn
	reader *bufio.Reader
}

func (m *machine) connect() (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{world: m.world, on: m, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// call is one client attempt.
type call struct {
	method, host, path, id string
	deadline               time.Duration
	headers                []string // further header lines
	body                   []byte
}

func newCall(method, host, path string, deadline time.Duration) *call {
	return &call{method: method, host: host, path: path, id: fmt.Sprintf("%016x", rand.Uint64()), deadline: deadline}
}

func (k *call) with(headers ...string) *call {
	k.headers = append(k.headers, headers...)
	return k
}

func (k *call) withBody(size int) *call {
	k.body = []byte(strings.Repeat("x", size))
	return k
}

func (k *call) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", k.method, k.path, k.host, headerID, k.id, headerDeadline, k.deadline.Milliseconds())
	for _, h := range k.headers {
		b.WriteString(h + "\r\n")
	}
	if len(k.body) > 0 || k.method == http.MethodPost || k.method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a whole request.
func (c *client) send(k *call) error {
	c.world.logf("client on %s: sends %s %s %s, id %s, %d bytes, header %d bytes", c.on.name, k.method, k.host, k.path, k.id, len(k.body), len(k.head()))
	_, err := c.conn.Write(append([]byte(k.head()), k.body...))
	return err
}

// answer is what a client got.
type answer struct {
	status      int
	id, seal    string
	body        []byte
	interim     int
	err         error
	retryAfter  string
	closesAfter bool
}

// genuine reports whether a success is the whole body that the server made for the request.
func (a *answer) genuine(k *call) bool {
	return a.err == nil && a.id == k.id && a.seal == fmt.Sprintf("%x.%d", sha256.Sum256(a.body), len(a.body)) &&
		strings.HasPrefix(string(a.body), k.id+" ")
}

// receive reads the next final answer.
func (c *client) receive(k *call, wait time.Duration) *answer {
	a := &answer{}
	defer func() {
		c.world.logf("client on %s: id %s ends: status %d, %d bytes, interim answers %d, retry-after %q, error %v", c.on.name, k.id, a.status, len(a.body), a.interim, a.retryAfter, a.err)
	}()
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
		if err != nil {
			a.err = err
			return a
		}
		if r.StatusCode < http.StatusOK {
			a.interim++
			continue
		}
		a.status, a.id, a.seal = r.StatusCode, r.Header.Get(headerID), r.Header.Get(headerSeal)
		a.retryAfter, a.closesAfter = r.Header.Get("Retry-After"), r.Close
		a.body, a.err = io.ReadAll(r.Body)
		return a
	}
}

// do sends a request and waits for its answer.
func (c *client) do(k *call) *answer {
	if err := c.send(k); err != nil {
		return &answer{err: err}
	}
	return c.receive(k, k.deadline+2*time.Second)
}

// once sends a request on a connection of its own.
func (m *machine) once(k *call) *answer {
	c, err := m.connect()
	if err != nil {
		return &answer{err: err}
	}
	defer c.close()
	return c.do(k)
}
