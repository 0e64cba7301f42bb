package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/blplatform"
	"basillift.dev/basillift/bltarget"
	"basillift.dev/platform"
)

// startRaw serves the same bytes to each request, and then ends the connection.
func startRaw(t *testing.T, text string, reset bool) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An unread body would make the close a reset.
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, text)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// readerStandIn is what the readers of answers need besides.
type readerStandIn struct {
	basillift.Directory
	state basillift.TargetState
}

func (*readerStandIn) Self() basillift.Member                 { return basillift.Member{} }
func (*readerStandIn) Record(basillift.Event)                 {}
func (s *readerStandIn) State() basillift.TargetState         { return s.state }
func (s *readerStandIn) SetState(state basillift.TargetState) { s.state = state }

// answerReaders are the clients of a daemon or an operator besides the request paths. Each reports whether it takes what the
// address serves for a sound answer.
func answerReaders(t *testing.T) map[string]func(address string) bool {
	t.Helper()
	ended, end := context.WithCancel(t.Context())
	end()
	log, err := bllog.New(io.Discard, "info", "vm1")
	is.New(t).NoErr(err)
	poll := func(address string) (*bltarget.Poller, *readerStandIn) {
		target := &readerStandIn{state: basillift.TargetStarting}
		p := bltarget.New(bltarget.NewSettings(address), target)
		p.Run(ended)
		return p, target
	}
	return map[string]func(address string) bool{
		"health check": func(address string) bool {
			_, target := poll(address)
			return target.state == basillift.TargetReady
		},
		"load report": func(address string) bool {
			p, _ := poll(address)
			return p.Load().Slots() == 7
		},
		"operators' client": func(address string) bool {
			_, err := bladmin.NewClient(address).Status()
			return err == nil
		},
		"operators' command": func(address string) bool { return bladmin.NewClient(address).Drain() == nil },
		"receiver of notices": func(address string) bool {
			s := blnotice.NewService(&readerStandIn{}, nil, &readerStandIn{}, log, nil, "http://"+address)
			answer, err := s.Handle(time.Now(), []byte(`{"kind":"`+string(blnotice.KindPlatform)+`"}`))
			return err == nil && answer.Sent
		},
		"platform": func(address string) bool {
			c, err := blplatform.NewClient("http://" + address)
			is.New(t).NoErr(err)
			defer c.Close()
			_, err = c.Read(t.Context(), "plans")
			return err == nil
		},
		"registry": func(address string) bool {
			s, err := platform.NewStore("http://"+address, "127.0.0.1:1")
			is.New(t).NoErr(err)
			_, err = s.List(t.Context(), "")
			return err == nil
		},
	}
}

// Guards against bytes that are no HTTP answer and count as a healthy target, a load report, a delivered notice, an accepted command
// or what the platform holds.
func TestReadersRefuseMalformedAnswers(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nConnection: close\r\nPlatform-Mod: 1\r\nPlatform-Store: 1\r\n", `{"slots":7,"asOf":1}`
	const sized, chunked = head + "Content-Length: 20\r\n\r\n" + body, head + "Transfer-Encoding: chunked\r\n\r\n"
	replaced := func(old, changed string) string { return strings.Replace(sized, old, changed, 1) }
	for name, tc := range map[string]struct {
		text         string
		reset, sound bool
	}{
		"with a length":                 {text: sized, sound: true},
		"in chunks":                     {text: chunked + "6\r\n{\"slot\r\ne;a=b\r\ns\":7,\"asOf\":1}\r\n0\r\nX-A: 1\r\n\r\n", sound: true},
		"until the end":                 {text: head + "\r\n" + body, sound: true},
		"behind an interim answer":      {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + sized, sound: true},
		"the same length twice":         {text: replaced("Content", "Content-Length: 20\r\nContent"), sound: true},
		"HTTP/1.0":                      {text: replaced("1.1", "1.0"), sound: true},
		"status 000":                    {text: replaced("200", "000")},
		"version 2.0":                   {text: replaced("1.1", "2.0")},
		"blank in a name":               {text: replaced("Platform", "X Bad: 1\r\nPlatform")},
		"blank behind a name":           {text: replaced("Platform", "X-Bad : 1\r\nPlatform")},
		"control byte in a name":        {text: replaced("Platform", "X\x01Bad: 1\r\nPlatform")},
		"folded value":                  {text: replaced("Platform", "X-Bad: 1\r\n 2\r\nPlatform")},
		"two lengths":                   {text: replaced("Content", "Content-Length: 19\r\nContent")},
		"length and chunks":             {text: strings.Replace(chunked, "\r\n\r\n", "\r\nContent-Length: 20\r\n\r\n", 1) + "14\r\n" + body + "\r\n0\r\n\r\n"},
		"blank behind a chunk size":     {text: chunked + "14 \r\n" + body + "\r\n0\r\n\r\n"},
		"blank in a name of a trailer":  {text: chunked + "14\r\n" + body + "\r\n0\r\nX Bad: 1\r\n\r\n"},
		"fewer bytes than its length":   {text: replaced(": 20", ": 21")},
		"no last chunk":                 {text: chunked + "14\r\n" + body + "\r\n"},
		"reset where it ends otherwise": {text: head + "\r\n" + body, reset: true},
	} {
		for reader, accepts := range answerReaders(t) {
			t.Run(reader+"/"+name, func(t *testing.T) {
				is.New(t).Equal(accepts(startRaw(t, tc.text, tc.reset)), tc.sound)
			})
		}
	}
}
