package blproxy

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// startCrashing serves a target that closes its listener and the connection of the request, like an
// exiting process, when a request is for /catalogue/crash.
func startCrashing(t *testing.T, crashes *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				var request fasthttp.Request
				r := bufio.NewReader(c)
				for request.Read(r) == nil {
					if strings.HasSuffix(string(request.Header.RequestURI()), "/crash") {
						crashes.Add(1)
						_ = l.Close()
						return
					}
					_, _ = c.Write([]byte(okAnswer))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestCrashingRequest guards against a request that crashes one target after another, and against
// refusing other requests together with it.
func TestCrashingRequest(t *testing.T) {
	var crashes atomic.Int32
	caller := startDaemon(t, "vm-a", "127.0.0.1:1", nil)
	all := []*daemon{caller}
	for _, id := range []basillift.VMID{"vm-b", "vm-c", "vm-d", "vm-e", "vm-f"} {
		d := startDaemon(t, id, startCrashing(t, &crashes), nil)
		caller.addTargets(d)
		all = append(all, d)
	}
	for _, d := range all[1:] {
		d.addTargets(all...)
	}
	connectDaemons(t, all...)
	for range 5 {
		_ = caller.ask(t, "GET", "/catalogue/crash", "")
	}
	// The request is quarantined after 2 crashes. No call reached its deadline meanwhile.
	is.New(t).Equal(crashes.Load(), int32(2))
	r := caller.ask(t, "GET", "/catalogue/crash", "")
	assertRefused(t, r, 503, basillift.OutcomeNotRun, basillift.ReasonQuarantined)
	for range 5 {
		assertAnswer(t, caller.ask(t, "GET", "/catalogue/hides", ""), 200, "ok")
	}
}

// TestBrokenWithoutCrash guards against suspecting a request because a running target closed a
// connection.
func TestBrokenWithoutCrash(t *testing.T) {
	var runs atomic.Int32
	caller, called := startPair(t, startScripted(t, &runs, ""), nil)
	for range 5 {
		r := caller.ask(t, "POST", "/catalogue/1", "")
		assertRefused(t, r, 502, basillift.OutcomeUnknown, basillift.ReasonTarget)
	}
	is.New(t).Equal(runs.Load(), int32(5))
	is.New(t).Equal(len(called.quarantine.inFlight), 0)
}
