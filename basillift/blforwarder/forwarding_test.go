package blforwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is altered on its way to the target, or that carries headers which a caller must not
// set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	for _, tc := range []struct {
		name   string
		caller int
	}{{"own target", 0}, {"through another daemon", 1}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := startTarget(t, answerOK)
			other := startTarget(t, answerOK)
			m := startMesh(t, f, other)
			c := m.dial(t, tc.caller)
			c.send("GET /get//a%2Fb/./c?x=%20&y HTTP/1.1\r\nhost: shop.example\r\nX-ID: 1\r\nX-Deadline: 500\r\nx-CaSe: Kept\r\n" +
				"X-Caller: forged\r\nBasillift-Hop: forged\r\nX-Instance: forged\r\nConnection: X-Drop, X-Caller, X-Id, X-Deadline\r\nX-Drop: 1\r\n\r\n")
			c.assertAnswer(http.StatusOK, "")
			target := f
			if f.count("1") == 0 {
				target = other
			}
			head, _ := target.lastRequest(t)
			is.True(strings.HasPrefix(head, "GET /get//a%2Fb/./c?x=%20&y HTTP/1.1\r\n"))
			is.True(strings.Contains(head, "\r\nx-CaSe: Kept"))
			is.True(strings.Contains(head, "\r\nX-Caller: catalogue"))
			is.True(strings.Contains(head, "\r\nX-ID: 1"))
			is.True(strings.Contains(head, "\r\nX-Instance: i"))
			is.True(!strings.Contains(head, "forged"))
			is.True(!strings.Contains(head, "X-Drop"))
			is.True(!strings.Contains(head, "Basillift-"))
			_, rest, _ := strings.Cut(head, "X-Deadline: ")
			left, err := strconv.Atoi(strings.Split(rest, "\r\n")[0])
			is.NoErr(err)
			is.True(left > 0 && left <= 500)
		})
	}
}

func TestBodies(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 64<<10)
	cases := []struct{ name, framing, body, want string }{
		{"by length", "Content-Length: 3\r\n\r\nabc", "", "abc"},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "", "abc"},
		{"chunked with a trailer", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n", "", "abc"},
		{"larger than the buffer", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)), large, large},
		{"larger than the buffer, chunked", "Transfer-Encoding: chunked\r\n\r\n100000\r\n", large + "\r\n0\r\n\r\n", large},
		{"empty", "Content-Length: 0\r\n\r\n", "", ""},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			f := startTarget(t, answerOK)
			m := startMesh(t, f)
			m.publish(t, 2, 2*hangGuard)
			c := m.dial(t, 0)
			c.send("POST /post/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: 1\r\n" + k.framing + k.body)
			c.assertAnswer(http.StatusOK, "/post/x "+k.want)
			c.send(withoutTimeLimit(get("2", "/get/y")))
			c.assertAnswer(http.StatusOK, "/get/y ")
		})
	}
}

// Guards against request smuggling, and against bodies and headers above the limits.
func TestInvalidRequests(t *testing.T) {
	cases := []struct {
		name, text string
		status     int
	}{
		{"no route", "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n", http.StatusNotFound},
		{"unknown host", "GET /get/ HTTP/1.1\r\nHost: other.example\r\n\r\n", http.StatusNotFound},
		{"length and chunked", "POST /post/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "POST /post/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
		{"body above the limit", "POST /post/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"header above the limit", "GET /get/ HTTP/1.1\r\nHost: shop.example\r\nX-A: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	f := startTarget(t, answerOK)
	m := startMesh(t, f)
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := m.dial(t, 0)
			c.send(k.text)
			c.assertAnswer(k.status, "")
		})
	}
}

// Guards against answers to pipelined requests in the wrong order.
func TestPipelinedAnswersAreInOrder(t *testing.T) {
	f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/get/slow" {
			time.Sleep(50 * time.Millisecond)
		}
		return answerOK(w, r, body)
	})
	m := startMesh(t, f)
	c := m.dial(t, 0)
	c.send(get("1", "/get/slow") + get("2", "/get/fast") + get("3", "/none/") + get("4", "/get/last"))
	c.assertAnswer(http.StatusOK, "/get/slow ")
	c.assertAnswer(http.StatusOK, "/get/fast ")
	c.assertAnswer(http.StatusNotFound, "")
	c.assertAnswer(http.StatusOK, "/get/last ")
}

// badAnswers are scripts of a faulty target.
func badAnswers() map[string]script {
	okAnswer := func(id, more string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: 2\r\n\r\nok"
	}
	write := func(text func(id string) string, keep bool) script {
		return func(w net.Conn, r *http.Request, _ []byte) bool {
			_, err := w.Write([]byte(text(r.Header.Get("X-Id"))))
			return err == nil && keep
		}
	}
	return map[string]script{
		"closed without an answer": write(func(string) string { return "" }, false),
		"truncated header":         write(func(id string) string { return okAnswer(id, "X-Seal: s\r\n")[:40] }, false),
		"truncated body": write(func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nok"
		}, false),
		"truncated chunks": write(func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
		}, false),
		"not HTTP":        write(func(string) string { return "garbage\r\n\r\n" }, false),
		"status 000":      write(func(id string) string { return strings.Replace(okAnswer(id, "X-Seal: s\r\n"), "200", "000", 1) }, true),
		"without a seal":  write(func(id string) string { return okAnswer(id, "") }, true),
		"with another id": write(func(string) string { return okAnswer("other", "X-Seal: s\r\n") }, false),
		"encoded":         write(func(id string) string { return okAnswer(id, "X-Seal: s\r\nContent-Encoding: gzip\r\n") }, true),
		"unframed, reset": func(w net.Conn, r *http.Request, _ []byte) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\nok", r.Header.Get("X-Id"))
			_ = w.(*net.TCPConn).SetLinger(0)
			return false
		},
	}
}

// Guards against an invalid answer that is forwarded as a success, and against a request that runs twice although it
// must not.
func TestBadAnswers(t *testing.T) {
	for name, s := range badAnswers() {
		t.Run("non-idempotent: "+name, func(t *testing.T) {
			is := is.New(t)
			f, other := startTarget(t, s), startTarget(t, s)
			m := startMesh(t, f, other)
			c := m.dial(t, 0)
			c.send(post("1", "x"))
			a := c.read()
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusBadGateway)
			is.Equal(f.count("1")+other.count("1"), 1)
		})
		t.Run("idempotent: "+name, func(t *testing.T) {
			is := is.New(t)
			f, other := startTarget(t, s), startTarget(t, s)
			m := startMesh(t, f, other)
			c := m.dial(t, 0)
			c.send(get("1", "/get/x"))
			is.Equal(c.read().status, http.StatusBadGateway)
			is.Equal(f.count("1")+other.count("1"), 2) // the route's attempts
		})
	}
}

// Guards against an interim answer that is written into the body of an earlier answer on the connection (MIXED).
func TestInterimAnswerKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	whole, begun, release := strings.Repeat("a", 2<<20), make(chan struct{}), make(chan struct{})
	f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		if r.Method == http.MethodPost {
			return answerOK(w, r, body)
		}
		half := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole[:1<<20])
		if !writeAnswer(w, r, half) {
			return false
		}
		close(begun)
		<-release
		return writeAnswer(w, r, whole[1<<20:])
	})
	m := startMesh(t, f)
	m.publish(t, 2, hangGuard)
	c := m.dial(t, 0)
	c.send(withoutTimeLimit(get("1", "/get/x")))
	<-begun
	c.send(withoutTimeLimit(strings.Replace(post("2", ""), "Content-Length: 0\r\n", "Content-Length: 4\r\nExpect: 100-continue\r\n", 1)))
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	a := c.read()
	is.NoErr(a.err)
	is.True(a.body == whole)
	interim, err := c.reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(interim, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	is.NoErr(err)
	c.send("body")
	c.assertAnswer(http.StatusOK, "/post/x body")
}

// Guards against a target's failure that is replaced by the daemon's own error because the retry failed in another
// way.
func TestTargetFailureIsForwarded(t *testing.T) {
	failed := func(w net.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("X-Id"))
		return err == nil
	}
	noAnswer := func(net.Conn, *http.Request, []byte) bool { return false }
	for name, retryAnswer := range map[string]script{"shed": shed, "broken": noAnswer} {
		t.Run(name, func(t *testing.T) {
			attempts := make(chan struct{}, 2)
			failThen := func(w net.Conn, r *http.Request, body []byte) bool {
				attempts <- struct{}{}
				if len(attempts) == 1 {
					return failed(w, r, body)
				}
				return retryAnswer(w, r, body)
			}
			c := startMesh(t, startTarget(t, failThen), startTarget(t, failThen)).dial(t, 0)
			c.send(get("1", "/get/x"))
			a := c.assertAnswer(http.StatusInternalServerError, "bad")
			is := is.New(t)
			is.Equal(a.header.Get("X-Seal"), "s")
			is.Equal(len(attempts), 2)
		})
	}
}

// Guards against an unframed answer that is lost, and against a late answer to an earlier request that is taken for
// the answer to the next one.
func TestUnusualAnswers(t *testing.T) {
	t.Run("unframed and closed", func(t *testing.T) {
		f := startTarget(t, func(w net.Conn, r *http.Request, _ []byte) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\nwhole", r.Header.Get("X-Id"))
			return false
		})
		c := startMesh(t, f).dial(t, 0)
		c.send(get("1", "/get/x"))
		c.assertAnswer(http.StatusOK, "whole")
	})
	t.Run("a late answer to an earlier request", func(t *testing.T) {
		f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get("X-Id") == "2" {
				_, _ = w.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nold"))
			}
			return answerOK(w, r, body)
		})
		c := startMesh(t, f).dial(t, 0)
		for _, id := range []string{"1", "2", "3"} {
			c.send(get(id, "/get/"+id))
			c.assertAnswer(http.StatusOK, "/get/"+id+" ")
		}
	})
	t.Run("an early answer to an upload that the target does not read", func(t *testing.T) {
		early, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer func() { _ = early.Close() }()
		f := &fakeTarget{address: early.Addr().String(), listener: early}
		go func() {
			conn, err := early.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 1024)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno"))
			time.Sleep(hangGuard)
		}()
		c := startMesh(t, f).dial(t, 0)
		c.send(post("1", strings.Repeat("x", 3<<20)))
		c.assertAnswer(http.StatusBadRequest, "no")
		// The connection must not be reset while the caller still sends the body.
		text := post("1", strings.Repeat("x", 3<<20))
		again := startMesh(t, startTarget(t, answerOK))
		again.publish(t, 2, time.Millisecond)
		c = again.dial(t, 0)
		c.send(text[:1<<20])
		answered := c.read()
		is.New(t).NoErr(answered.err)
		c.send(text[1<<20:])
	})
}

// shed answers that the request did not run.
func shed(w net.Conn, _ *http.Request, _ []byte) bool {
	_, err := w.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	return err == nil
}

// Guards against wrong "not-run" answers, and against giving up a request that another target would run.
func TestRefusals(t *testing.T) {
	t.Run("a request that did not run goes to another target, whatever its kind", func(t *testing.T) {
		is := is.New(t)
		f, other := startTarget(t, shed), startTarget(t, answerOK)
		m := startMesh(t, f, other)
		for n := range 6 {
			c := m.dial(t, n%2)
			id := fmt.Sprint(n)
			c.send(post(id, "x"))
			c.assertAnswer(http.StatusOK, "/post/x x")
			is.Equal(other.count(id), 1)
		}
	})
	t.Run("the address of a restarted target gets one request, then none", func(t *testing.T) {
		is := is.New(t)
		moved := startTarget(t, func(w net.Conn, _ *http.Request, _ []byte) bool {
			_, err := w.Write([]byte("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"))
			return err == nil
		})
		m := startMesh(t, moved)
		c := m.dial(t, 0)
		for n := range 5 {
			c.send(post(fmt.Sprint(n), "x"))
			c.assertAnswer(http.StatusServiceUnavailable, "")
		}
		is.Equal(moved.count("0"), 1)
		is.Equal(moved.count("1")+moved.count("2")+moved.count("3")+moved.count("4"), 0)
	})
	t.Run("refused by all targets", func(t *testing.T) {
		is := is.New(t)
		f := startTarget(t, shed)
		c := startMesh(t, f).dial(t, 0)
		c.send(post("1", "x"))
		a := c.assertAnswer(http.StatusServiceUnavailable, "")
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(a.header.Get("X-Id"), "1")
	})
	t.Run("a target that is down", func(t *testing.T) {
		is := is.New(t)
		f, other := startTarget(t, answerOK), startTarget(t, answerOK)
		_ = f.listener.Close()
		m := startMesh(t, f, other)
		c := m.dial(t, 0)
		c.send(post("1", "x"))
		c.assertAnswer(http.StatusOK, "")
		is.Equal(other.count("1"), 1)
	})
	t.Run("no table yet", func(t *testing.T) {
		f := startTarget(t, answerOK)
		m := startEmptyMesh(t, f)
		c := m.dial(t, 0)
		c.send(get("1", "/get/x"))
		c.assertAnswer(http.StatusServiceUnavailable, "")
		c.send(get("2", "/get/x"))
		m.publish(t, 1, time.Second)
		c.assertAnswer(http.StatusOK, "")
	})
}

// Guards against callers that wait longer than their route allows, and against targets that go on working for callers
// that disconnected.
func TestTimeoutsAndDisconnects(t *testing.T) {
	t.Run("timeout of the route", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		defer close(release)
		f := startTarget(t, func(net.Conn, *http.Request, []byte) bool { <-release; return false })
		m := startMesh(t, f)
		m.publish(t, 2, 100*time.Millisecond)
		c := m.dial(t, 0)
		c.send(post("1", "x"))
		c.assertAnswer(http.StatusGatewayTimeout, "")
		is.Equal(f.count("1"), 1)
	})
	t.Run("a caller that disconnects", func(t *testing.T) {
		gone := make(chan struct{})
		f := startTarget(t, func(w net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = w.Read(make([]byte, 1))
			close(gone)
			return false
		})
		m := startMesh(t, f, startTarget(t, answerOK))
		m.fleet.Apply(time.Now(), removalOf("t1", 9))
		c := m.dial(t, 1)
		c.send(get("1", "/get/x"))
		for f.count("1") == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = c.conn.Close()
		select {
		case <-gone:
		case <-time.After(hangGuard):
			t.Fatal("the target still works for a caller that disconnected")
		}
	})
}

// Guards against a stop that truncates requests, or that goes on accepting new ones.
func TestDrain(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 8), make(chan struct{})
	f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		entered <- struct{}{}
		<-release
		return answerOK(w, r, body)
	})
	m := startMesh(t, f)
	m.publish(t, 2, hangGuard)
	busy, idle := m.dial(t, 0), m.dial(t, 0)
	busy.send("POST /post/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	<-entered
	done := make(chan struct{})
	go func() { m.forwarders[0].Drain(context.Background()); close(done) }()
	for !m.forwarders[0].stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	is.True(!m.forwarders[0].Ready())
	m.forwarders[0].failedReadyChecks.Store(readyFailureThreshold)
	is.True(idle.read().err != nil) // closed, without an answer
	close(release)
	is.True(busy.assertAnswer(http.StatusOK, "").close)
	<-done
	_, err := net.Dial("tcp", m.callerAddresses[0])
	is.True(err != nil)
}

// Guards against a daemon that hangs when it is stopped while it is still starting.
func TestStopDuringStart(t *testing.T) {
	f := startTarget(t, answerOK)
	for range 50 {
		t.Run("stopped before it serves", func(t *testing.T) { startEmptyMesh(t, f) })
	}
}

// Guards against a refusal that a target writes once more on a kept connection, where it would be taken for the answer to
// the next request, which runs.
func TestRepeatedRefusalIsIgnored(t *testing.T) {
	for name, id := range map[string]string{"with its id": "X-Id: 1\r\n", "without an id": ""} {
		t.Run(name, func(t *testing.T) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
			f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
				_, err := io.WriteString(w, refusal)
				if r.Header.Get("X-Id") == "1" {
					return err == nil
				}
				return answerOK(w, r, body)
			})
			c := startMesh(t, f).dial(t, 0)
			c.send(post("1", ""))
			c.assertAnswer(http.StatusServiceUnavailable, "")
			c.send(post("2", "x"))
			c.assertAnswer(http.StatusOK, "/post/x x")
		})
	}
}

// Guards against an answer whose head is truncated and that reaches the caller as a complete one.
func TestTruncatedHeadIsNoAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n"
	for length := range len(head) {
		t.Run(fmt.Sprintf("%d bytes", length), func(t *testing.T) {
			f := startTarget(t, func(w net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = io.WriteString(w, head[:length])
				return false
			})
			c := startMesh(t, f).dial(t, 0)
			c.send(post("1", "x"))
			c.assertAnswer(http.StatusBadGateway, "")
		})
	}
}

// Guards against requests that a stopping daemon takes on busy connections late in its stop, and that are cut at its end.
func TestStopTakesNoLateRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 8), make(chan struct{})
	block := func(w net.Conn, r *http.Request, body []byte) bool {
		entered <- struct{}{}
		<-release
		return answerOK(w, r, body)
	}
	own, other := startTarget(t, block), startTarget(t, block)
	m := startMesh(t, own, other)
	m.publish(t, 2, hangGuard)
	c := m.dial(t, 0)
	c.send("POST /post/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	<-entered
	done := make(chan struct{})
	go func() { m.forwarders[0].Drain(context.Background()); close(done) }()
	m.forwarders[0].failedReadyChecks.Store(readyFailureThreshold)
	for {
		conn, err := net.Dial("tcp", m.callerAddresses[0])
		if err != nil {
			break
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(drainCheckInterval)
	c.send("GET /get/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: 2\r\n\r\n")
	select {
	case <-entered:
		t.Error("the target got a request that was sent after the daemon took no more")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	is.True(c.assertAnswer(http.StatusOK, "").close)
	<-done
	is.Equal(own.count("2")+other.count("2"), 0)
}

// Guards against a request that runs twice since its caller takes the target's own status for a promise that it has not run. The
// target says nothing of the kind, and has run it.
func TestStatusOfTargetIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprintf("status %d", status), func(t *testing.T) {
			is := is.New(t)
			failed := func(w net.Conn, r *http.Request, _ []byte) bool {
				return writeAnswer(w, r, fmt.Sprintf("HTTP/1.1 %d Failed\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", status))
			}
			f, other := startTarget(t, failed), startTarget(t, failed)
			m := startMesh(t, f, other)
			for daemon := range 2 {
				c := m.dial(t, daemon)
				id := fmt.Sprintf("once%d", daemon)
				c.send(post(id, "x"))
				is.Equal(c.assertAnswer(http.StatusBadGateway, "").header.Get("X-Seal"), "")
				is.Equal(f.count(id)+other.count(id), 1)
				c.send(get(fmt.Sprintf("again%d", daemon), "/get/x"))
				is.Equal(c.assertAnswer(status, "").header.Get("X-Seal"), "s")
			}
		})
	}
}
