package blforwarder

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

// startLimited starts one daemon with a budget and a target.
func startLimited(t *testing.T, l blbudget.Limits, target *fakeTarget, timeout time.Duration) *mesh {
	t.Helper()
	const free = "127.0.0.1:0"
	m := &mesh{fleet: blfleet.New(), tables: bltable.NewHolder()}
	s := NewSettings(free, free, free).WithTarget(target.address, "catalogue", "a").WithHeaderNames(testHeaderNames).WithLimits(l)
	fw := New(s, m.tables, m.fleet, nil, rand.New(rand.NewSource(1)))
	fw.SetRevisionGossip(fixedGossip{})
	m.run(t, fw)
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 1).WithEndpoint(m.endpointOf(0, target)))
	fw.TargetsChanged(time.Now())
	m.publish(t, 1, timeout)
	return m
}

// truncated returns a request without the last byte of its body.
func truncated(request string) string { return request[:len(request)-1] }

// Guards against an upload that never ends and holds its memory and its connection, and against an answer to it that breaks the
// promise of "not run".
func TestStalledBody(t *testing.T) {
	body := strings.Repeat("s", 100<<10)
	requests := map[string]string{
		"with a length": truncated(post("1", body)),
		"chunked":       strings.Replace(post("1", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + fmt.Sprintf("%x\r\n%s", len(body)+1, body),
	}
	for name, request := range requests {
		t.Run("until the caller's deadline: "+name, func(t *testing.T) {
			f := startTarget(t, answerOK)
			c := startLimited(t, blbudget.NewLimits(0, 0), f, 10*hangGuard).dial(t, 0)
			c.send(request)
			a := c.assertAnswer(http.StatusRequestTimeout, "")
			is.New(t).True(a.close)
			is.New(t).Equal(f.count("1"), 0)
		})
		t.Run("until the timeout of the route: "+name, func(t *testing.T) {
			f := startTarget(t, answerOK)
			c := startLimited(t, blbudget.NewLimits(0, 0), f, 300*time.Millisecond).dial(t, 0)
			c.send(withoutDeadline(request))
			c.assertAnswer(http.StatusRequestTimeout, "")
			is.New(t).Equal(f.count("1"), 0)
		})
	}
	t.Run("a slow body is served", func(t *testing.T) {
		c := startLimited(t, blbudget.NewLimits(0, 0), startTarget(t, answerOK), hangGuard).dial(t, 0)
		request := withoutTimeLimit(post("1", strings.Repeat("s", 2000)))
		for part := range 5 {
			c.send(request[part*len(request)/5 : (part+1)*len(request)/5])
			time.Sleep(300 * time.Millisecond)
		}
		c.assertAnswer(http.StatusOK, "")
	})
}

// assertBecomesServed sends a request, each time on a new connection, until it is served.
func assertBecomesServed(t *testing.T, m *mesh, request string) {
	t.Helper()
	for end := time.Now().Add(hangGuard); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no ordinary request was served")
		}
		conn, err := net.Dial("tcp", m.callerAddresses[0])
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, withoutDeadline(request))
		a := newCaller(t, conn).read()
		_ = conn.Close()
		if a.err == nil && a.status == http.StatusOK {
			return
		}
	}
}

// Guards against unfinished bodies that take the memory or the connections of ordinary requests.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	body := strings.Repeat("s", 300<<10)
	t.Run("memory", func(t *testing.T) {
		m := startLimited(t, blbudget.NewLimits(1, 0), startTarget(t, answerOK), 10*hangGuard)
		for range 30 {
			_, _ = io.WriteString(m.dial(t, 0).conn, truncated(withoutDeadline(post("1", body))))
		}
		assertBecomesServed(t, m, post("ordinary", body))
		is.New(t).True(m.forwarders[0].peers.closed.Load() > 0)
	})
	t.Run("connections", func(t *testing.T) {
		l := blbudget.NewLimits(0, 100)
		m := startLimited(t, l, startTarget(t, answerOK), 10*hangGuard)
		for range l.Callers() {
			m.dial(t, 0).send(truncated(withoutDeadline(post("1", "xx"))))
		}
		assertBecomesServed(t, m, post("ordinary", body))
		is.New(t).True(m.forwarders[0].peers.closed.Load() > 0)
	})
}

// Guards against a body that holds a slot of the target without making progress while another request waits for it.
func TestStalledStreamLosesItsSlot(t *testing.T) {
	const slots = 4
	m := startLimited(t, blbudget.NewLimits(0, 0), startTarget(t, answerOK), 10*hangGuard)
	for i := range slots {
		m.dial(t, 0).send(truncated(withoutDeadline(post(fmt.Sprint(i), strings.Repeat("s", maxBufferedBytes+1000)))))
	}
	for m.forwarders[0].admission.load().Running() < slots {
		time.Sleep(time.Millisecond)
	}
	assertBecomesServed(t, m, post("last", "x"))
}

// Guards against a target that is avoided because a caller did not finish its body.
func TestStalledBodyIsNoFailureOfTheTarget(t *testing.T) {
	is := is.New(t)
	stalls := true
	source, _ := io.Pipe()
	r := &request{stream: newRequestStream(source, nil, maxReadAheadBytes), bodyStalled: func() bool { return stalls }}
	is.Equal(balancerResult(t.Context(), r, blretry.AttemptBroken, false), blbalance.ResultCanceled)
	is.Equal(balancerResult(t.Context(), r, blretry.AttemptAnswered, false), blbalance.ResultAnswered)
	stalls = false
	is.Equal(balancerResult(t.Context(), r, blretry.AttemptBroken, false), blbalance.ResultBroken)
	is.Equal(balancerResult(t.Context(), &request{}, blretry.AttemptBroken, false), blbalance.ResultBroken)
}

// Guards against a target that cuts off its answer, or a daemon that drops it, because the caller reads slowly.
func TestAnswerIsReadAheadOfSlowCaller(t *testing.T) {
	// More than the kernel holds at both ends of two connections.
	const size = 50 << 20
	written := make(chan struct{})
	m := startLimited(t, blbudget.NewLimits(600, 0), startTarget(t, func(w net.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), size, strings.Repeat("a", size))
		if err == nil {
			close(written)
		}
		return err == nil
	}), hangGuard)
	c := m.dial(t, 0)
	is.New(t).NoErr(c.conn.(*net.TCPConn).SetReadBuffer(64 << 10))
	c.send(withoutTimeLimit(get("1", "/get/x")))
	assertClosed(t, written)
	a := c.read()
	is.New(t).NoErr(a.err)
	is.New(t).Equal(len(a.body), size)
}

// Guards against callers that read nothing and so hold the slots of a target that has given its answers.
func TestUnreadAnswerReturnsItsSlot(t *testing.T) {
	const size = 40 << 20
	m := startLimited(t, blbudget.NewLimits(600, 0), startTarget(t, func(w net.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), size, strings.Repeat("a", size))
		return err == nil
	}), hangGuard)
	c := m.dial(t, 0)
	c.send(withoutTimeLimit(get("1", "/get/x")))
	_, err := c.reader.Peek(1)
	is.New(t).NoErr(err)
	for end := time.Now().Add(slowReaderTimeout); m.forwarders[0].admission.load().Running() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the slot is still taken")
		}
	}
}

// Guards against an upload that breaks off because the next daemon has to pause while a target reads slowly: the kernel of the
// sending daemon took it for gone.
func TestUploadToSlowTarget(t *testing.T) {
	// More than the kernel and both daemons hold.
	body := strings.Repeat("s", 16<<20)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * daemonTCPUserTimeout)
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header()["X-Id"], w.Header()["X-Seal"] = r.Header["X-Id"], []string{"s"}
		_, _ = fmt.Fprint(w, n)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	// With little memory the next daemon reads only some hundred KB ahead.
	m := startLimited(t, blbudget.NewLimits(1, 0), &fakeTarget{address: listener.Addr().String()}, hangGuard)
	m.start(t, 1, startTarget(t, answerOK))
	m.fleet.Apply(time.Now(), removalOf("t1", 9))
	current := m.tables.Current().RoutingSpec()
	_, err = m.tables.Adopt(basillift.NewRoutingSpec(2, current.Routes(), current.Services(), basillift.NewClientLimits(0, len(body), 0, 0)))
	is.New(t).NoErr(err)
	c := m.dial(t, 1)
	go func() { _, _ = io.WriteString(c.conn, withoutTimeLimit(post("1", body))) }()
	c.assertAnswer(http.StatusOK, fmt.Sprint(len(body)))
}
