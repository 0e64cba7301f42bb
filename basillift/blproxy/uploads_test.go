package blproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

const (
	requestHead = " HTTP/1.1\r\nHost: x\r\nBasillift-Customer: kobuleti\r\n"
	uploadBytes = 48 << 20
)

// dialCaller opens a connection to the caller side and writes the given bytes.
func dialCaller(t *testing.T, d *daemon, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", d.CallerAddress())
	requireNoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	requireNoError(t, err)
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	response := &fasthttp.Response{}
	requireNoError(t, response.Read(r))
	return response
}

// zeros is a body that needs no memory.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestLargeBodies guards against bodies that are held in memory completely.
func TestLargeBodies(t *testing.T) {
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() {
			n, _ := io.Copy(io.Discard, ctx.RequestBodyStream())
			ctx.SetBodyString(fmt.Sprint(n))
			return
		}
		size := uploadBytes
		if ctx.QueryArgs().Has("chunked") {
			size = -1
		}
		ctx.SetBodyStream(io.LimitReader(zeros{}, uploadBytes), size)
	})
	caller, _ := startPair(t, target, nil)
	// A complete body in memory, in one direction, would exceed this in each of the two proxies.
	const allowed = uploadBytes / 2
	t.Run("upload", func(t *testing.T) {
		before := allocated()
		c, r := dialCaller(t, caller, fmt.Sprintf("POST /catalogue/map%sContent-Length: %d\r\n\r\n", requestHead, uploadBytes))
		_, err := io.Copy(c, io.LimitReader(zeros{}, uploadBytes))
		requireNoError(t, err)
		assertAnswer(t, readResponse(t, r), 200, fmt.Sprint(uploadBytes))
		is.New(t).True(allocated()-before < allowed)
	})
	for _, path := range []string{"map", "map?chunked"} {
		t.Run("download "+path, func(t *testing.T) {
			before := allocated()
			_, r := dialCaller(t, caller, "GET /catalogue/"+path+requestHead+"\r\n")
			response := &fasthttp.Response{StreamBody: true}
			requireNoError(t, response.Read(r))
			n, err := io.Copy(io.Discard, response.BodyStream())
			requireNoError(t, err)
			is.New(t).Equal(n, int64(uploadBytes))
			is.New(t).True(allocated()-before < allowed)
		})
	}
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// TestTruncatedUpload guards against a target that treats a truncated upload as complete.
func TestTruncatedUpload(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"
	cases := []struct {
		name, framing, end string
		hangsUp            bool
	}{
		{"fixed length", "Content-Length: 200000\r\n\r\n", "", true},
		{"chunked", chunked, "\r\n", true},
		{"within a chunk", strings.Replace(chunked, "186a0", "186a1", 1), "", true},
		{"bad chunk on an open connection", chunked, "\r\nzz\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			whole, arriving := make(chan bool, 1), make(chan struct{})
			target := startRaw(t, func(_ net.Conn, r *bufio.Reader) {
				_, _ = r.Peek(1)
				close(arriving)
				whole <- readRequest(r)
			})
			caller, called := startPair(t, target, withLongTimeouts)
			conn, r := dialCaller(t, caller, "POST /catalogue/1"+requestHead+c.framing+strings.Repeat("x", 100000)+c.end)
			<-arriving
			if c.hangsUp {
				requireNoError(t, conn.Close())
			} else {
				assertRefused(t, readResponse(t, r), 502, basillift.OutcomeUnknown, basillift.ReasonTruncated)
			}
			is.New(t).Equal(<-whole, false)
			eventually(t, func() bool { return caller.InFlight() == 0 && called.InFlight() == 0 })
		})
	}
}

// withLongTimeouts sets timeouts long enough that no deadline ends a call of the test.
func withLongTimeouts(s Settings) Settings { return s.WithTimeouts(time.Hour, time.Hour) }

// TestEarlyRefusal guards against losing a target's response because the caller is still sending,
// and against waiting for a body that nobody reads.
func TestEarlyRefusal(t *testing.T) {
	target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 3\r\n\r\nbig")
		waitClosed(r)
	})
	caller, _ := startPair(t, target, withLongTimeouts)
	c, r := dialCaller(t, caller, fmt.Sprintf("POST /catalogue/map%sContent-Length: %d\r\n\r\n", requestHead, uploadBytes))
	_, _ = io.Copy(c, io.LimitReader(zeros{}, uploadBytes))
	assertAnswer(t, readResponse(t, r), 413, "big")
}

// TestEarlyAnswerWithoutLength guards against a part of a response that is forwarded as complete: a reset is reported to the
// goroutine that still writes the request, and the read then sees the end of a body without a length. It also guards against a
// whole response that is cut because the rest of the upload is not needed.
func TestEarlyAnswerWithoutLength(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		reset  bool
	}{"reset": {200, true}, "closed": {200, false}, "closed after a refusal": {413, false}} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			target := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := r.ReadString('\n'); err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d \r\n\r\npart", tc.status)
				<-answered
				if tc.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = conn.(*net.TCPConn).CloseWrite()
				waitClosed(r)
			})
			caller, _ := startPair(t, target, withLongTimeouts)
			// Which goroutine sees the reset first differs.
			for range 4 {
				c, r := dialCaller(t, caller, fmt.Sprintf("POST /catalogue/map%sContent-Length: %d\r\n\r\n", requestHead, 4<<20))
				go func() { _, _ = io.Copy(c, io.LimitReader(zeros{}, 4<<20)) }()
				time.Sleep(5 * time.Millisecond)
				answered <- struct{}{}
				response := &fasthttp.Response{}
				err := response.Read(r)
				_ = c.Close()
				if tc.reset && err == nil && response.StatusCode() == 200 {
					t.Fatalf("a part of a response is complete: %q", response.Body())
				}
				if !tc.reset {
					requireNoError(t, err)
					assertAnswer(t, response, tc.status, "part")
				}
			}
		})
	}
}

// TestExpect guards against requesting the body of an upload that will be refused.
func TestExpect(t *testing.T) {
	caller, _ := startPair(t, startTarget(t, echo), nil)
	t.Run("wanted", func(t *testing.T) {
		c, r := dialCaller(t, caller, "POST /catalogue/1"+requestHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		line, err := r.ReadString('\n')
		requireNoError(t, err)
		is.New(t).Equal(line, "HTTP/1.1 100 Continue\r\n")
		_, err = r.ReadString('\n')
		requireNoError(t, err)
		_, err = io.WriteString(c, "goat")
		requireNoError(t, err)
		assertAnswer(t, readResponse(t, r), 200, "POST /catalogue/1 goat")
	})
	t.Run("refused", func(t *testing.T) {
		_, r := dialCaller(t, caller, "POST /reservations/1"+requestHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		assertRefused(t, readResponse(t, r), 403, basillift.OutcomeNotRun, basillift.ReasonPlan)
	})
}

// TestFraming guards against requests whose end two parsers see at different places.
func TestFraming(t *testing.T) {
	var runs atomic.Int32
	caller, _ := startPair(t, startTarget(t, func(*fasthttp.RequestCtx) { runs.Add(1) }), nil)
	chunks := "\r\n0\r\n\r\nGET /catalogue/2 HTTP/1.1\r\n\r\n"
	cases := []struct {
		name, head string
		status     int
	}{
		{"length and chunked", requestHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks, 400},
		{"length and identity", requestHead + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\ngoat", 400},
		{"two lengths", requestHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ngoat", 400},
		{"unknown coding", requestHead + "Transfer-Encoding: gzip, chunked\r\n" + chunks, 400},
		{"space before colon", requestHead + "Content-Length : 4\r\n\r\ngoat", 400},
		{"old protocol", strings.Replace(requestHead, "1.1", "1.0", 1) + "\r\n", 505},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, r := dialCaller(t, caller, "POST /catalogue/1"+c.head)
			assertRefused(t, readResponse(t, r), c.status, basillift.OutcomeNotRun, basillift.ReasonBadRequest)
			waitClosed(r) // a second request in the same bytes must not be served
		})
	}
	is.New(t).Equal(runs.Load(), int32(0))
}

// TestDrain guards against a planned stop that interrupts a call, and against callers that keep
// using a draining daemon.
func TestDrain(t *testing.T) {
	arrived, leave := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) {
		close(arrived)
		<-leave
		ctx.SetBodyString("late")
	})
	caller, called := startPair(t, target, nil)
	_, r := dialCaller(t, caller, "GET /catalogue/1"+requestHead+"\r\n")
	<-arrived
	drained := make(chan int, 1)
	go func() { drained <- called.Drain(context.Background()) }()
	eventually(t, called.draining.Load)
	refused := caller.ask(t, "POST", "/catalogue/2", "goat")
	assertRefused(t, refused, 503, basillift.OutcomeNotRun, basillift.ReasonDraining)
	is.New(t).Equal(len(drained), 0) // the first call is still running
	close(leave)
	assertAnswer(t, readResponse(t, r), 200, "late")
	is.New(t).Equal(<-drained, 0)
}

// TestDrainBusyCaller guards against a drain that a busy caller delays until its timeout, and
// against a call that is accepted after the last check for calls in flight.
func TestDrainBusyCaller(t *testing.T) {
	arrived, leave := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/catalogue/slow" {
			close(arrived)
			<-leave
		}
		echo(ctx)
	})
	caller, _ := startPair(t, target, withLongTimeouts)
	_, slow := dialCaller(t, caller, "POST /catalogue/slow"+requestHead+"Content-Length: 0\r\n\r\n")
	<-arrived
	drained := make(chan int, 1)
	go func() { drained <- caller.Drain(context.Background()) }()
	eventually(t, caller.draining.Load)
	r := caller.ask(t, "POST", "/catalogue/1", "goat")
	is.New(t).Equal(r.StatusCode(), 200)
	is.New(t).True(r.ConnectionClose())
	close(leave)
	is.New(t).Equal(readResponse(t, slow).StatusCode(), 200)
	is.New(t).Equal(<-drained, 0)
	assertRefused(t, caller.ask(t, "POST", "/catalogue/1", ""), 503, basillift.OutcomeNotRun, basillift.ReasonDraining)
}

// TestDrainBound guards against a drain that never ends, and against a caller that keeps waiting
// for a canceled call.
func TestDrainBound(t *testing.T) {
	arrived := make(chan struct{})
	target := startRaw(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		waitClosed(r)
	})
	caller, called := startPair(t, target, nil)
	_, r := dialCaller(t, caller, "POST /catalogue/1"+requestHead+"Content-Length: 0\r\n\r\n")
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.New(t).Equal(called.Drain(ctx), 1)
	assertRefused(t, readResponse(t, r), 502, basillift.OutcomeUnknown, basillift.ReasonCallerGone)
}
