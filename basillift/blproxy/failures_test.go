package blproxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// readRequest reads one request and reports whether it arrived in full.
func readRequest(r *bufio.Reader) bool {
	var request fasthttp.Request
	return request.Read(r) == nil
}

// waitClosed returns when the other side has closed the connection.
func waitClosed(r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }

// TestTargetFailures guards against a request that is sent twice, a failure that is reported as
// "not-run", and a truncated response that is forwarded as complete.
func TestTargetFailures(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000)
	cases := []struct {
		name, method, reply string
		status              int
		reason              basillift.Reason
	}{
		{"no answer", "POST", "", 502, basillift.ReasonTarget},
		{"half a header", "POST", "HTTP/1.1 200 OK\r\nConte", 502, basillift.ReasonTarget},
		{"garbage", "POST", "220 mail.example\r\n\r\n", 502, basillift.ReasonTarget},
		{"short body", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 502, basillift.ReasonTruncated},
		{"status 000", "POST", strings.Replace(okAnswer, "200", "000", 1), 502, basillift.ReasonTarget},
		{"version 2.0", "POST", strings.Replace(okAnswer, "1.1", "2.0", 1), 502, basillift.ReasonTarget},
		{"blank in a name", "POST", strings.Replace(okAnswer, "\r\n", "\r\nX Bad: 1\r\n", 1), 502, basillift.ReasonTarget},
		{"blank behind a name", "POST", strings.Replace(okAnswer, "Length:", "Length :", 1), 502, basillift.ReasonTarget},
		{"folded value", "POST", strings.Replace(okAnswer, "\r\n", "\r\nX-Bad: 1\r\n 2\r\n", 1), 502, basillift.ReasonTarget},
		{"chunks in HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502, basillift.ReasonTarget},
		{"blank behind a chunk size", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n2 \r\nok\r\n0\r\n\r\n", 0, ""},
		{"control byte in a trailer", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Bad: \x01\r\n\r\n", 0, ""},
		{"protocol switch", "POST", "HTTP/1.1 101 Switching Protocols\r\n\r\n", 502, basillift.ReasonTarget},
		{"truncated long body", "POST", long, 0, ""},
		{"chunked body truncated after a chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 0, ""},
		{"chunked body truncated within a chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					runs.Add(1)
					_, _ = io.WriteString(conn, c.reply)
				}
			})
			caller, called := startPair(t, target, nil)
			response, err := caller.try(t, c.method, "/catalogue/1", "goat")
			is.New(t).Equal(runs.Load(), int32(1))
			// Without a byte there was no answer.
			eventually(t, func() bool {
				return strings.Contains(called.mesh.eventKinds(), string(basillift.EventAnswerInvalid)) || c.reply == ""
			})
			if c.status == 0 {
				is.New(t).True(err != nil) // the caller must see that the body is not whole
				return
			}
			requireNoError(t, err)
			assertRefused(t, response, c.status, basillift.OutcomeUnknown, c.reason)
		})
	}
}

// TestConnectFailed guards against reporting "unknown" although no byte of the request was sent.
func TestConnectFailed(t *testing.T) {
	caller, _ := startPair(t, "127.0.0.1:1", nil)
	r := caller.ask(t, "POST", "/catalogue/1", "goat")
	assertRefused(t, r, 503, basillift.OutcomeNotRun, basillift.ReasonConnectFailed)
}

// TestDeadline guards against a call that continues at the target after its deadline.
func TestDeadline(t *testing.T) {
	closed := make(chan struct{})
	target := startRaw(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		waitClosed(r)
		close(closed)
	})
	caller, _ := startPair(t, target, nil)
	r := caller.ask(t, "POST", "/catalogue/1", "goat", "Basillift-Timeout: 50")
	assertRefused(t, r, 504, basillift.OutcomeUnknown, basillift.ReasonDeadline)
	<-closed
}

// TestCallerDisconnects guards against a call that continues at the target after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	target := startRaw(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		waitClosed(r)
		close(closed)
	})
	caller, called := startPair(t, target, withLongTimeouts)
	c, err := net.Dial("tcp", caller.CallerAddress())
	requireNoError(t, err)
	_, err = io.WriteString(c, "POST /catalogue/1 HTTP/1.1\r\nHost: x\r\nBasillift-Customer: kobuleti\r\nContent-Length: 0\r\n\r\n")
	requireNoError(t, err)
	<-arrived
	requireNoError(t, c.Close())
	<-closed
	eventually(t, func() bool { return caller.InFlight() == 0 && called.InFlight() == 0 })
}

// TestConnectionReuse guards against reusing a connection that the target has closed, or on which
// it has sent unsolicited bytes. The first would make the outcome of a request "unknown"
// needlessly. The second would assign a response to the wrong request.
func TestConnectionReuse(t *testing.T) {
	const unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	cases := []struct {
		name, reply, later string
		closes             bool
	}{
		{"closed after the answer", okAnswer, "", true},
		{"second answer with the first", okAnswer + unsolicited, "", false},
		{"second answer later", okAnswer, unsolicited, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			answered, sent := make(chan struct{}), make(chan struct{})
			target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if !readRequest(r) {
					return
				}
				runs.Add(1)
				_, _ = io.WriteString(conn, c.reply)
				<-answered
				_, _ = io.WriteString(conn, c.later)
				if c.closes {
					_ = conn.Close()
				}
				sent <- struct{}{}
				waitClosed(r)
			})
			caller, _ := startPair(t, target, nil)
			for range 20 {
				assertAnswer(t, caller.ask(t, "POST", "/catalogue/1", "goat"), 200, "ok")
				answered <- struct{}{}
				<-sent
			}
			is.New(t).Equal(runs.Load(), int32(20))
		})
	}
}

// TestBodyless guards against connections that lose synchronization after responses without a body.
func TestBodyless(t *testing.T) {
	var connections atomic.Int32
	target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		connections.Add(1)
		var request fasthttp.Request
		for request.Read(r) == nil {
			reply := okAnswer
			switch string(request.Header.RequestURI()) {
			case "/catalogue/204":
				reply = "HTTP/1.1 204 No Content\r\n\r\n"
			case "/catalogue/304":
				reply = "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"
			case "/catalogue/head":
				reply = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
			case "/catalogue/interim":
				reply = "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer
			}
			_, _ = io.WriteString(conn, reply)
		}
	})
	caller, _ := startPair(t, target, nil)
	for range 3 {
		is.New(t).Equal(caller.ask(t, "GET", "/catalogue/204", "").StatusCode(), 204)
		is.New(t).Equal(caller.ask(t, "GET", "/catalogue/304", "").StatusCode(), 304)
		is.New(t).Equal(caller.ask(t, "HEAD", "/catalogue/head", "").Header.ContentLength(), 7)
		assertAnswer(t, caller.ask(t, "GET", "/catalogue/interim", ""), 200, "ok")
		assertAnswer(t, caller.ask(t, "GET", "/catalogue/1", ""), 200, "ok")
	}
	is.New(t).Equal(connections.Load(), int32(1))
}

// TestHopByHop guards against forwarding headers that apply to one connection only.
func TestHopByHop(t *testing.T) {
	seen := make(chan string, 1)
	target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(r) != nil {
			return
		}
		seen <- request.Header.String()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close, X-Secret\r\nX-Secret: 1\r\nX-Kept: 2\r\n"+
			"Keep-Alive: timeout=5\r\nProxy-Authenticate: Basic\r\nUpgrade: h2c\r\nBasillift-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok")
	})
	caller, _ := startPair(t, target, nil)
	r := caller.ask(t, "POST", "/catalogue/1", "goat", "Connection: X-Private, Basillift-Customer", "X-Private: 1", "X-Kept: 2",
		"Keep-Alive: 1", "Te: trailers", "Upgrade: h2c", "Proxy-Authorization: Basic eA==")
	assertAnswer(t, r, 200, "ok")
	assertHeaders(t, r.Header.String(), "X-Kept: 2", "X-Secret", "Keep-Alive", "Proxy-", "Upgrade")
	assertHeaders(t, <-seen, "X-Kept: 2", "X-Private", "Keep-Alive", "Proxy-", "Upgrade", "Te:", "Connection")
}

func assertHeaders(t *testing.T, raw, kept string, dropped ...string) {
	t.Helper()
	is.New(t).True(strings.Contains(raw, kept))
	for _, name := range dropped {
		if strings.Contains(raw, name) {
			t.Errorf("header %s was forwarded in %q", name, raw)
		}
	}
}
