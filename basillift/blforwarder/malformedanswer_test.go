package blforwarder

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/bltable"
)

// malformedAnswers are answers that RFC 9112 does not allow, by what is wrong with them.
func malformedAnswers() map[string]string {
	const rest = "X-Id: ID\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	const sound, oneChunk, lastChunk = "HTTP/1.1 200 OK\r\n" + rest, "2\r\nok\r\n", "0\r\n\r\n"
	all := map[string]string{
		"empty line before":          "\r\n" + sound,
		"interim status 000":         "HTTP/1.1 000 \r\n\r\n" + sound,
		"field of an interim answer": "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + sound,
		"length and chunks":          strings.Replace(sound, "X-Id", "Transfer-Encoding: chunked\r\nX-Id", 1),
		"chunks in HTTP/1.0":         strings.Replace(withChunks("chunked", oneChunk+lastChunk), "/1.1", "/1.0", 1),
	}
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 101 Switching Protocols",
		"HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.10 200 OK", "ICY 200 OK",
	} {
		all[line] = line + "\r\n" + rest
	}
	for _, line := range []string{
		"X Bad: 1", "X-Bad : 1", " X-Bad: 1", "X\tBad: 1", "X\x00Bad: 1", "X\x01Bad: 1", "X\x7fBad: 1", "X\rBad: 1", "X\nBad: 1", "\nX-Bad: 1", "X\xe4Bad: 1", "X(Bad): 1",
		": 1", "X-Bad", "X-Bad: 1\r\n 2", "X-Bad: 1\x002", "X-Bad: 1\x012", "X-Bad: 1\x7f2", "X-Bad: 1\r2", "X-Bad: 1\nX-Bad: 1", "Content-Length: 1",
	} {
		all[line] = strings.Replace(sound, "Content", line+"\r\nContent", 1)
	}
	for _, line := range []string{
		"Content Length: 2", "Content-Length : 2", "Content-\x01Length: 2", "Content-Length: 2, 1", "Content-Length: +2", "Content-Length: -2",
		"Content-Length: 0x2", "Content-Length: 2 2", "Content-Length:", "Content-Length: 18446744073709551618",
	} {
		all[line] = strings.Replace(sound, "Content-Length: 2", line, 1)
	}
	for _, coding := range []string{"gzip", "gzip, chunked", "identity", "chunked, chunked", "chunked;a=b", ""} {
		all["coding "+coding] = withChunks(coding, oneChunk+lastChunk)
	}
	for _, chunks := range []string{
		"2 \r\nok\r\n" + lastChunk, " " + oneChunk + lastChunk, "+" + oneChunk + lastChunk, "0x" + oneChunk + lastChunk, "\r\nok\r\n" + lastChunk,
		"10000000000000002\r\nok\r\n" + lastChunk, "2\nok\r\n" + lastChunk, "2;a=\x01\r\nok\r\n" + lastChunk, "2\r\nokay\r\n" + lastChunk,
		"2\r\nok" + lastChunk, oneChunk + "0\r\nX Bad: 1\r\n\r\n", oneChunk + "0\r\nX-Bad: \x01\r\n\r\n", oneChunk + "0\r\nX-Bad\r\n\r\n",
		oneChunk + "0\r\nX-Good: 1\r\n",
	} {
		all["chunks "+chunks] = withChunks("chunked", chunks)
	}
	return all
}

// withChunks returns an answer with a transfer coding.
func withChunks(coding, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body
}

// answerOnce returns a script that writes an answer and closes the connection.
func answerOnce(text string) script {
	return func(w net.Conn, r *http.Request, _ []byte) bool {
		_ = writeAnswer(w, r, text)
		return false
	}
}

// startMeshOfOne starts two daemons and a target that only the first one's VM has.
func startMeshOfOne(t *testing.T, f *fakeTarget) *mesh {
	t.Helper()
	m := startMesh(t, f, startTarget(t, answerOK))
	m.fleet.Apply(time.Now(), removalOf("t1", 3))
	for _, each := range m.forwarders {
		each.TargetsChanged(time.Now())
	}
	return m
}

// eachCaller runs a test with a caller at the daemon of the target's VM, and at that of another one.
func eachCaller(t *testing.T, test func(t *testing.T, daemon int)) {
	t.Helper()
	for daemon, from := range []string{"own VM", "other VM"} {
		t.Run(from, func(t *testing.T) { test(t, daemon) })
	}
}

// Guards against bytes that are no HTTP answer and reach the caller as one (MIXED), and against saying of their request that it
// has not run (REFUSED).
func TestMalformedAnswers(t *testing.T) {
	for name, text := range malformedAnswers() {
		t.Run(name, func(t *testing.T) {
			eachCaller(t, func(t *testing.T, daemon int) {
				f := startTarget(t, answerOnce(text))
				c := startMeshOfOne(t, f).dial(t, daemon)
				c.send(post("1", "x"))
				c.assertAnswer(http.StatusBadGateway, "")
				is.New(t).Equal(f.count("1"), 1)
			})
		})
	}
}

// Guards against a malformed answer that ends a request which may be sent to another target.
func TestMalformedAnswerIsRetried(t *testing.T) {
	eachCaller(t, func(t *testing.T, daemon int) {
		var answered atomic.Bool
		malformedOnce := func(w net.Conn, r *http.Request, body []byte) bool {
			return answered.Swap(true) && answerOK(w, r, body) || writeAnswer(w, r, malformedAnswers()["HTTP/1.1 000 "])
		}
		c := startMesh(t, startTarget(t, malformedOnce), startTarget(t, malformedOnce)).dial(t, daemon)
		c.send(get("1", "/get/x"))
		c.assertAnswer(http.StatusOK, "/get/x ")
	})
}

// Guards against a broken answer whose reason no operator can find.
func TestInvalidAnswerIsLogged(t *testing.T) {
	for name, tc := range map[string]struct{ text, reason string }{
		"malformed": {malformedAnswers()["HTTP/1.1 000 "], `status line \"HTTP/1.1 000 \"`},
		"truncated": {okHeader + "Content-Length: 3\r\n\r\nok", "the connection ended within the body"},
		"no answer": {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			log, err := bllog.New(&out, "info", "vm1")
			is.NoErr(err)
			target := startTarget(t, answerOnce(tc.text))
			f := New(NewSettings("", "", "").WithHeaderNames(testHeaderNames), bltable.NewHolder(), blfleet.New(), log, rand.New(rand.NewSource(1)))
			r := &request{method: http.MethodGet, fields: []field{{"X-Id", "7"}}}
			now := time.Now()
			_, err = f.newExchange(target.address, r, []byte(get("7", "/get/x")), now.Add(hangGuard)).run(t.Context(), now)
			is.True(err != nil)
			is.Equal(strings.Contains(out.String(), `"event":703,"message":"answer is not valid","id":"7","from":"`+target.address), tc.reason != "")
			is.True(strings.Contains(out.String(), tc.reason))
		})
	}
}

// Guards against a sound answer that is refused because it is unusual.
func TestWellFormedAnswers(t *testing.T) {
	const head = "X-Id: ID\r\nX-Seal: s\r\n"
	ok := "HTTP/1.1 200 OK\r\n" + head
	for name, text := range map[string]string{
		"no phrase":               "HTTP/1.1 200 \r\n" + head + "Content-Length: 2\r\n\r\nok",
		"no space behind status":  "HTTP/1.1 200\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"phrase with high bytes":  "HTTP/1.1 200 \xc3\xa4\t!\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"later minor version":     "HTTP/1.2 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0 with a length":  "HTTP/1.0 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0 until the end":  "HTTP/1.0 200 OK\r\n" + head + "\r\nok",
		"until the end":           ok + "\r\nok",
		"no blank before a value": ok + "Content-Length:2\r\n\r\nok",
		"blanks around a value":   ok + "Content-Length: \t2\t \r\n\r\nok",
		"the same length twice":   ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"list of one length":      ok + "Content-Length: 2, 2\r\n\r\nok",
		"length with zeros":       ok + "Content-Length: 002\r\n\r\nok",
		"name in lower case":      ok + "content-length: 2\r\n\r\nok",
		"all bytes of a token":    ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok",
		"unusual values":          ok + "X-A:\r\nX-B: a\tb \xff\r\nContent-Length: 2\r\n\r\nok",
		"chunks":                  withChunks("chunked", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
		"chunks in upper case":    withChunks("CHUNKED", "2\r\nok\r\n000\r\n\r\n"),
		"empty list elements":     withChunks(", chunked,", "2\r\nok\r\n0\r\n\r\n"),
		"chunk extensions":        withChunks("chunked", "2;a;b=\"c d\" ; e=f\r\nok\r\n0;a\r\n\r\n"),
		"chunk size with zeros":   withChunks("chunked", "00000000000000000002\r\nok\r\n0\r\n\r\n"),
		"trailers":                withChunks("chunked", "2\r\nok\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\n"),
		"interim answers":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			eachCaller(t, func(t *testing.T, daemon int) {
				c := startMeshOfOne(t, startTarget(t, answerOnce(text))).dial(t, daemon)
				c.send(post("1", "x"))
				c.assertAnswer(http.StatusOK, "ok")
			})
		})
	}
}

// Guards against an answer to HEAD, or without content, that is read with a body, and against the length of a body that a 204
// must not have.
func TestAnswersWithoutBody(t *testing.T) {
	head, sized := "X-Id: ID\r\nX-Seal: s\r\n", "Content-Length: 7\r\n\r\n"
	for name, tc := range map[string]struct{ method, text, length string }{
		"HEAD":         {"HEAD", "HTTP/1.1 200 OK\r\n" + head + sized, "7"},
		"HEAD, chunks": {"HEAD", withChunks("chunked", ""), ""},
		"204":          {"GET", "HTTP/1.1 204 No Content\r\n" + head + sized, ""},
		"304":          {"GET", "HTTP/1.1 304 Not Modified\r\n" + head + sized, "7"},
	} {
		t.Run(name, func(t *testing.T) {
			eachCaller(t, func(t *testing.T, daemon int) {
				f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
					return r.URL.Path == "/get/next" && answerOK(w, r, body) || writeAnswer(w, r, tc.text)
				})
				c := startMeshOfOne(t, f).dial(t, daemon)
				c.send(strings.Replace(get("1", "/get/x"), "GET", tc.method, 1) + get("2", "/get/next"))
				r, err := http.ReadResponse(c.reader, &http.Request{Method: tc.method})
				is.New(t).NoErr(err)
				is.New(t).Equal(r.Header.Get("X-Seal"), "s")
				is.New(t).Equal(r.Header.Get("Content-Length"), tc.length)
				c.assertAnswer(http.StatusOK, "/get/next ")
			})
		})
	}
}

// startEarlyTarget serves a target that answers each request before it has read the body, without a length, and then ends the
// connection in its own way.
func startEarlyTarget(t *testing.T, part string, end func(*net.TCPConn)) *fakeTarget {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = writeAnswer(conn, r, okHeader+"\r\n"+part)
		end(conn.(*net.TCPConn))
	}))
	t.Cleanup(server.Close)
	return &fakeTarget{address: server.Listener.Addr().String(), listener: server.Listener}
}

// eachUpload sends uploads of some MB one after the other and passes each caller to a function.
func eachUpload(t *testing.T, f *fakeTarget, count int, check func(c *caller)) {
	t.Helper()
	eachCaller(t, func(t *testing.T, daemon int) {
		m := startMeshOfOne(t, f)
		m.publish(t, 2, hangGuard)
		for i := range count {
			c := m.dial(t, daemon)
			go func() {
				_, _ = io.WriteString(c.conn, withoutTimeLimit(post(fmt.Sprint(i), strings.Repeat("x", 2<<20))))
			}()
			check(c)
		}
	})
}

// Guards against a part of an answer that reaches the caller as a whole one (MIXED): a reset while the request is still being
// written is reported to the write, and the read then sees the end of an answer without a length.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, part := range map[string]string{"small": "part", "large": strings.Repeat("p", maxBufferedBytes+100<<10)} {
		t.Run(name, func(t *testing.T) {
			f := startEarlyTarget(t, part, func(conn *net.TCPConn) {
				// The daemon is writing when the reset arrives.
				time.Sleep(5 * time.Millisecond)
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			// Which goroutine of the daemon sees the reset first differs.
			eachUpload(t, f, 40, func(c *caller) {
				c.t.Helper()
				if a := c.read(); a.err == nil && a.status != http.StatusBadGateway {
					c.t.Fatalf("answer %d with %d bytes, want 502 or a broken connection", a.status, len(a.body))
				}
			})
		})
	}
}

// Guards against an answer without a length that is dropped although it is whole, because the target stops reading the upload.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	large := strings.Repeat("p", 100<<10)
	for name, tc := range map[string]struct {
		whole string
		end   func(*net.TCPConn)
	}{
		"upload is read":     {large, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }},
		"upload is not read": {large, func(*net.TCPConn) { <-ended }},
		// With unread bytes the close is a reset. A large answer might not have arrived before it.
		"reset after it": {"whole", func(*net.TCPConn) { time.Sleep(time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := startEarlyTarget(t, tc.whole, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				tc.end(conn)
				_ = conn.Close()
			})
			eachUpload(t, f, 5, func(c *caller) { c.assertAnswer(http.StatusOK, tc.whole) })
		})
	}
}
