package blforwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// endlessAnswer returns a script that writes a prefix and then repeats the same bytes until the daemon closes the
// connection, which it signals on the channel.
func endlessAnswer(prefix, repeated string, pause time.Duration, closed chan<- struct{}) script {
	return func(w net.Conn, r *http.Request, _ []byte) bool {
		defer func() { closed <- struct{}{} }()
		_, err := io.WriteString(w, strings.ReplaceAll(prefix, "ID", r.Header.Get("X-Id")))
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(w, repeated)
		}
		return false
	}
}

const (
	okHeader      = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n"
	chunkedHeader = okHeader + "Transfer-Encoding: chunked\r\n\r\n"
)

// assertClosed checks that the daemon closes its connection to a target.
func assertClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(hangGuard):
		t.Fatal("the daemon still keeps the connection to the target")
	}
}

// Guards against requests that never end, growing memory and invalid bytes that are forwarded as an answer. They come
// about if a target sends bytes without end.
func TestEndlessAnswers(t *testing.T) {
	kilobyte := strings.Repeat("a", 1<<10)
	play := func(t *testing.T, prefix, repeated string, pause time.Duration, request string) (callerAnswer, int) {
		t.Helper()
		closed := make(chan struct{}, 2)
		f := startTarget(t, endlessAnswer(prefix, repeated, pause, closed))
		m := startMesh(t, f)
		m.publish(t, 2, 300*time.Millisecond)
		c := m.dial(t, 0)
		c.send(request)
		a := c.read()
		assertClosed(t, closed)
		return a, f.count("1")
	}
	for name, text := range map[string][2]string{
		"header fields":                     {"HTTP/1.1 200 OK\r\n", "X-More: " + kilobyte + "\r\n"},
		"header line":                       {"HTTP/1.1 200 OK\r\nX-Long: ", kilobyte},
		"status line":                       {"HTTP/1.1 200 ", kilobyte},
		"bytes that are not HTTP":           {"", kilobyte},
		"interim answers":                   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers to other requests":         {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"},
		"chunk size":                        {chunkedHeader, "0"},
		"chunk extension":                   {chunkedHeader + "5;", kilobyte},
		"trailer fields":                    {chunkedHeader + "2\r\nok\r\n0\r\n", "X-More: " + kilobyte + "\r\n"},
		"tiny chunks with large extensions": {chunkedHeader, "1;" + kilobyte + "\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, runs := play(t, text[0], text[1], 0, post("1", "x"))
			is.NoErr(a.err)
			if a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, want 502 or 504", a.status)
			}
			is.Equal(runs, 1)
		})
	}
	for name, head := range map[string]string{
		"body without a length": okHeader + "\r\n",
		"chunked body":          chunkedHeader,
		"body of 1 TB":          okHeader + "Content-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			repeated := kilobyte
			if head == chunkedHeader {
				repeated = fmt.Sprintf("%x\r\n%s\r\n", len(kilobyte), kilobyte)
			}
			a, runs := play(t, head, repeated, 0, post("1", "x"))
			is := is.New(t)
			// A part may have been forwarded, but the answer must not look complete.
			is.True(a.err != nil || a.status == http.StatusGatewayTimeout)
			is.Equal(runs, 1)
		})
	}
	for name, head := range map[string]string{
		"header byte by byte": "HTTP/1.1 200 OK\r\nX-Slow: ",
		"body byte by byte":   okHeader + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, runs := play(t, head, "a", 50*time.Millisecond, get("1", "/get/x"))
			is := is.New(t)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusGatewayTimeout)
			is.Equal(runs, 1)
		})
	}
	for name, head := range map[string]string{
		"after an answer without a body": "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n",
		"after a complete answer":        okHeader + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 4)
			c := startMesh(t, startTarget(t, endlessAnswer(head, kilobyte, 0, closed))).dial(t, 0)
			// The second request finds the bytes behind the first answer, if these arrived too late to be seen with it.
			for _, id := range []string{"1", "2"} {
				c.send(post(id, "x"))
				a := c.read()
				is.New(t).NoErr(a.err)
				is.New(t).Equal(a.body, "")
				is.New(t).True(a.status < http.StatusMultipleChoices)
			}
			assertClosed(t, closed)
		})
	}
	t.Run("to a HEAD", func(t *testing.T) {
		closed := make(chan struct{}, 2)
		m := startMesh(t, startTarget(t, endlessAnswer(okHeader+"Content-Length: 5\r\n\r\n", kilobyte, 0, closed)))
		c := m.dial(t, 0)
		c.send(strings.Replace(get("1", "/get/x"), "GET", http.MethodHead, 1))
		a, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		is.New(t).NoErr(err)
		is.New(t).Equal(a.StatusCode, http.StatusOK)
		assertClosed(t, closed)
	})
	t.Run("to a caller that has left", func(t *testing.T) {
		closed := make(chan struct{}, 2)
		m := startMesh(t, startTarget(t, endlessAnswer(okHeader+"\r\n", kilobyte, 0, closed)))
		m.publish(t, 2, hangGuard)
		c := m.dial(t, 0)
		c.send(withoutTimeLimit(post("1", "x")))
		_, err := c.reader.Peek(1)
		is.New(t).NoErr(err)
		is.New(t).NoErr(c.conn.Close())
		assertClosed(t, closed)
	})
	t.Run("the next request is served", func(t *testing.T) {
		closed := make(chan struct{}, 2)
		f := startTarget(t, endlessAnswer("", kilobyte, 0, closed))
		m := startMesh(t, f)
		c := m.dial(t, 0)
		c.send(post("1", "x"))
		c.assertAnswer(http.StatusBadGateway, "")
		assertClosed(t, closed)
		f.mutex.Lock()
		f.script = answerOK
		f.mutex.Unlock()
		c.send(post("2", "y"))
		c.assertAnswer(http.StatusOK, "/post/x y")
	})
}

// Guards against a daemon that runs out of memory, and ends the requests of other callers with it: targets send answers without
// end, and their callers read nothing.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		targets  = 3
		requests = 600
		// connectionBytes bounds what a request takes besides bodies: at each of two daemons 68 KB of buffers for its connections
		// and its answer, and less than 28 KB for its state there and for the test's side of the connection.
		connectionBytes = 2 * (68 + 28) << 10
		// maxBufferedTotal is the memory for peers if that of the machine is not known.
		maxBufferedTotal = 48 << 20
		// Each target has a daemon, all in the process of the test. A body that is growing is held twice.
		allowedBytes = 2*targets*maxBufferedTotal + requests*connectionBytes
	)
	is := is.New(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("a", 16<<10))
	closed := make(chan struct{}, 2*requests)
	endless := endlessAnswer(chunkedHeader, chunk, 0, closed)
	var started atomic.Int32
	fakes := make([]*fakeTarget, 0, targets)
	for range targets {
		fakes = append(fakes, startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
			if r.URL.Path == "/get/last" {
				return answerOK(w, r, body)
			}
			started.Add(1)
			return endless(w, r, body)
		}))
	}
	m := startMesh(t, fakes...)
	m.publish(t, 2, 10*hangGuard)
	for i, f := range fakes {
		e := basillift.NewEndpoint(fmt.Sprintf("i%d", i), "catalogue", f.address, "a", requests, basillift.TargetReady).WithDaemon(m.daemonAddresses[i])
		m.fleet.Apply(time.Now(), basillift.NewRegistryEntry(fmt.Sprintf("t%d", i), 9).WithEndpoint(e))
		m.forwarders[i].TargetsChanged(time.Now())
	}
	before := int(liveHeapBytes())
	callers := make([]*caller, 0, requests)
	for len(callers) < requests {
		c := m.dial(t, 0)
		c.send(strings.Replace(get(fmt.Sprint(len(callers)), "/get/x"), "X-Deadline: 900\r\n", "", 1))
		// The head arrives once the daemon forwards the body. An overloaded daemon may refuse the request.
		status, err := c.reader.Peek(len("HTTP/1.1 200"))
		is.NoErr(err)
		if strings.HasSuffix(string(status), "200") {
			callers = append(callers, c)
		}
	}
	grown := int(liveHeapBytes()) - before
	for _, f := range m.forwarders {
		is.True(f.bodyBudget.usedBytes() <= maxBufferedTotal)
	}
	t.Logf("%d MB for %d answers", grown>>20, requests)
	if grown > allowedBytes {
		t.Errorf("%d MB are held for %d answers, want less than %d MB", grown>>20, requests, allowedBytes>>20)
	}
	last := m.dial(t, 0)
	last.send(withoutTimeLimit(get("last", "/get/last")))
	last.assertAnswer(http.StatusOK, "/get/last ")
	for _, c := range callers {
		is.NoErr(c.conn.Close())
	}
	for range started.Load() {
		assertClosed(t, closed)
	}
	for _, f := range m.forwarders {
		for f.bodyBudget.usedBytes() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// liveHeapBytes returns the size of all objects that are in use.
func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
