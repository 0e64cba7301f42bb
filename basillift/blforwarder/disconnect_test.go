package blforwarder

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// awaitQueued waits until a number of requests wait at a daemon.
func (m *mesh) awaitQueued(t *testing.T, daemon, want int) {
	t.Helper()
	for end := time.Now().Add(hangGuard); m.forwarders[daemon].admission.load().Queued() != want; {
		if time.Now().After(end) {
			t.Fatalf("%d requests wait at daemon %d, want %d", m.forwarders[daemon].admission.load().Queued(), daemon, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// withoutDeadline returns a request that only the timeout of its route bounds.
func withoutDeadline(request string) string {
	return strings.Replace(request, "X-Deadline: 900\r\n", "", 1)
}

// Guards against requests that run although their callers have left (GONE): nothing reads the connection while a large body
// belongs to a request, or while too many requests are pending.
func TestDisconnectWhileNothingIsRead(t *testing.T) {
	const routeTimeout = 10 * hangGuard
	large := strings.Repeat("x", maxBufferedBytes+1<<20)
	assertDropped := func(t *testing.T, m *fullMesh, c *caller) {
		t.Helper()
		is.New(t).NoErr(c.conn.Close())
		m.awaitQueued(t, 1, 0)
		close(m.release)
		last := m.dial(t, 1)
		last.send(withoutDeadline(post("last", "x")))
		last.assertAnswer(http.StatusOK, "")
		is.New(t).Equal(m.target.count("waiting"), 0)
	}
	for daemon, name := range []string{"large body, at another daemon", "large body, beside the target"} {
		t.Run(name, func(t *testing.T) {
			m := startFullMesh(t, 1)
			c := m.dial(t, daemon)
			go func() { _, _ = c.conn.Write([]byte(withoutDeadline(post("waiting", large)))) }()
			m.awaitQueued(t, 1, 1)
			assertDropped(t, m, c)
		})
	}
	t.Run("many pipelined requests", func(t *testing.T) {
		const sent = pipelineDepth + 4
		entered, gone := make(chan struct{}, sent), make(chan struct{}, sent)
		f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
			if r.URL.Path == "/get/first" {
				return answerOK(w, r, body)
			}
			entered <- struct{}{}
			_, _ = w.Read(make([]byte, 1))
			gone <- struct{}{}
			return false
		})
		m := startMesh(t, f)
		m.publish(t, 2, routeTimeout)
		e := basillift.NewEndpoint("i0", "catalogue", f.address, "a", 2*sent, basillift.TargetReady).WithDaemon(m.daemonAddresses[0])
		m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 9).WithEndpoint(e))
		m.forwarders[0].TargetsChanged(time.Now())
		c := m.dial(t, 0)
		// Until its target has answered, a daemon uses few slots.
		c.send(get("first", "/get/first"))
		c.assertAnswer(http.StatusOK, "")
		for i := range sent {
			c.send(withoutDeadline(get(fmt.Sprint(i), "/get/x")))
		}
		for range pipelineDepth {
			<-entered
		}
		is.New(t).NoErr(c.conn.Close())
		for range pipelineDepth {
			assertClosed(t, gone)
		}
	})
	t.Run("large body that a target runs", func(t *testing.T) {
		entered, gone := make(chan struct{}), make(chan struct{})
		f := startTarget(t, func(w net.Conn, _ *http.Request, _ []byte) bool {
			close(entered)
			_, _ = w.Read(make([]byte, 1))
			close(gone)
			return false
		})
		m := startMesh(t, f, startTarget(t, answerOK))
		m.fleet.Apply(time.Now(), removalOf("t1", 9))
		m.publish(t, 2, routeTimeout)
		c := m.dial(t, 1)
		text := withoutDeadline(strings.Replace(post("1", large), "POST /post/x", "PUT /get/x", 1))
		go func() { _, _ = c.conn.Write([]byte(text)) }()
		<-entered
		is.New(t).NoErr(c.conn.Close())
		assertClosed(t, gone)
	})
}
