package blforwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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

func assertClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(hangGuard):
		t.Fatal("the daemon still reads the endless answer")
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
