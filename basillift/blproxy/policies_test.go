package blproxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

// startScripted serves a target that answers each request with the same bytes and counts the requests.
// Without bytes it closes the connection.
func startScripted(t *testing.T, runs *atomic.Int32, reply string) string {
	t.Helper()
	return startRaw(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			runs.Add(1)
			if reply == "" {
				return
			}
			_, _ = io.WriteString(c, reply)
		}
	})
}

const (
	notRunAnswer  = "HTTP/1.1 503 Busy\r\nBasillift-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy"
	unclearAnswer = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy"
	errorAnswer   = "HTTP/1.1 500 Fault\r\nContent-Length: 5\r\n\r\nfault"
)

// TestRetry guards against a request that must not run twice but does, and against a failure that
// a retry at another target could have avoided.
func TestRetry(t *testing.T) {
	cases := []struct {
		name, method, reply, header string
		runs                        int32
	}{
		{"post not run", "POST", notRunAnswer, "", 3},
		{"post unclear", "POST", unclearAnswer, "", 1},
		{"get unclear", "GET", unclearAnswer, "", 3},
		{"post without answer", "POST", "", "", 1},
		{"get without answer", "GET", "", "", 3},
		{"get error", "GET", errorAnswer, "", 1},
		{"deeper in a chain", "GET", notRunAnswer, "Basillift-Depth: 1", 1},
		{"not-run claimed with status 200", "POST", strings.Replace(notRunAnswer, "503 Busy", "200 OK", 1), "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			target := startScripted(t, &runs, c.reply)
			caller := startDaemon(t, "vm-a", "127.0.0.1:1", nil)
			for _, id := range []basillift.VMID{"vm-b", "vm-c", "vm-d", "vm-e"} {
				caller.addTargets(startDaemon(t, id, target, nil))
			}
			_ = caller.ask(t, c.method, "/catalogue/1", "", c.header)
			is.New(t).Equal(runs.Load(), c.runs)
		})
	}
}

// TestRetryElsewhere guards against a refusal that reaches the caller although another target
// would accept the call, also for an upload of which nothing was read yet.
func TestRetryElsewhere(t *testing.T) {
	var refused atomic.Int32
	busy := startDaemon(t, "vm-b", startScripted(t, &refused, notRunAnswer), nil)
	dead := startDaemon(t, "vm-c", "127.0.0.1:1", nil)
	good := startDaemon(t, "vm-d", startTarget(t, echo), nil)
	caller := startDaemon(t, "vm-a", "127.0.0.1:1", nil)
	caller.addTargets(busy, dead, good)
	for range 10 {
		assertAnswer(t, caller.ask(t, "POST", "/catalogue/1", "goat"), 200, "POST /catalogue/1 goat")
	}
}

// TestTargetOutcomeReachesCaller guards against outcomes that are lost or invented between the target and the
// caller.
func TestTargetOutcomeReachesCaller(t *testing.T) {
	cases := []struct {
		name, reply, outcome string
		status               int
	}{
		{"not run", notRunAnswer, "not-run", 503},
		{"unclear", unclearAnswer, "unknown", 503},
		{"error", errorAnswer, "", 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			caller, _ := startPair(t, startScripted(t, &runs, c.reply), nil)
			r := caller.ask(t, "POST", "/catalogue/1", "")
			is.New(t).Equal(r.StatusCode(), c.status)
			is.New(t).Equal(string(r.Header.Peek(HeaderOutcome)), c.outcome)
		})
	}
}

// TestSlots guards against a target that runs more calls at once than it has slots, against lost
// waiting calls, and against callers that disconnect while their call is queued.
func TestSlots(t *testing.T) {
	var running, maxRunning, runs atomic.Int32
	arrived, leave := make(chan struct{}, 8), make(chan struct{})
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		runs.Add(1)
		arrived <- struct{}{}
		<-leave
		running.Add(-1)
		ctx.SetBodyString("ok")
	})
	caller, called := startPair(t, target, func(s Settings) Settings { return withLongTimeouts(s).WithTarget(1, 4, 2) })
	_, first := dialCaller(t, caller, "POST /catalogue/1"+requestHead+"Content-Length: 0\r\n\r\n")
	<-arrived
	gone, _ := dialCaller(t, caller, "POST /catalogue/2"+requestHead+"Content-Length: 0\r\n\r\n")
	eventually(t, func() bool { _, queued := called.admission.load(); return queued == 1 })
	requireNoError(t, gone.Close())
	eventually(t, func() bool { _, queued := called.admission.load(); return queued == 0 })
	_, second := dialCaller(t, caller, "POST /catalogue/3"+requestHead+"Content-Length: 0\r\n\r\n")
	eventually(t, func() bool { _, queued := called.admission.load(); return queued == 1 })
	close(leave)
	assertAnswer(t, readResponse(t, first), 200, "ok")
	assertAnswer(t, readResponse(t, second), 200, "ok")
	is.New(t).Equal(maxRunning.Load(), int32(1))
	is.New(t).Equal(runs.Load(), int32(2))
}

// TestStates guards against calls that reach a target which does not accept them.
func TestStates(t *testing.T) {
	caller, called := startPair(t, startTarget(t, echo), nil)
	for state, reason := range map[basillift.TargetState]basillift.Reason{
		basillift.TargetStarting: basillift.ReasonNoTarget,
		basillift.TargetDraining: basillift.ReasonDraining,
		basillift.TargetGone:     basillift.ReasonDraining,
	} {
		called.mesh.SetState(state)
		assertRefused(t, caller.ask(t, "POST", "/catalogue/1", ""), 503, basillift.OutcomeNotRun, reason)
	}
}

// TestVersions guards against a daemon that is not informed of a newer version, and one that
// admits a call by an older version than its own.
func TestVersions(t *testing.T) {
	caller, called := startPair(t, startTarget(t, echo), nil)
	allowing := basicConfiguration()
	allowing.plan = basillift.NewPlan("basic", []string{"catalogue", "reservations"}, 0, 0, basillift.ClassNormal)
	denying := basicConfiguration()
	denying.plan = basillift.NewPlan("basic", []string{"reservations"}, 0, 0, basillift.ClassNormal)
	t.Run("receiver is behind", func(t *testing.T) {
		allowing.version = basillift.NewVersion(1, 8)
		caller.source, called.source = allowing, denying
		assertAnswer(t, caller.ask(t, "GET", "/catalogue/1", ""), 200, "GET /catalogue/1 ")
		called.mesh.locked(func() { is.New(t).Equal(called.mesh.observed, []basillift.Version{allowing.version}) })
	})
	t.Run("receiver has none", func(t *testing.T) {
		called.source = configuration{}
		r := caller.ask(t, "GET", "/catalogue/1", "")
		assertRefused(t, r, 503, basillift.OutcomeNotRun, basillift.ReasonNoVersion)
	})
	t.Run("sender is behind", func(t *testing.T) {
		denying.version = basillift.NewVersion(1, 9)
		called.source = denying
		r := caller.ask(t, "GET", "/catalogue/1", "")
		assertRefused(t, r, 403, basillift.OutcomeNotRun, basillift.ReasonPlan)
	})
}

// results is a fake that takes the results of calls to the target.
type results chan blroute.Result

func (r results) ObserveCall(_ time.Time, result blroute.Result) { r <- result }

// TestObserver guards against counting failures of callers against the target, and against missing
// failures of the target.
func TestObserver(t *testing.T) {
	cases := []struct{ name, reply, header, want string }{
		{"answer", okAnswer, "", "ok"},
		{"error answer", errorAnswer, "", "ok"},
		{"no answer", "", "", "crashed"},
		{"deadline too short", "HTTP/1.1 ", "Basillift-Timeout: 20", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			caller, called := startPair(t, startScripted(t, &runs, c.reply), nil)
			seen := make(results, 1)
			called.SetCallObserver(seen)
			_ = caller.ask(t, "POST", "/catalogue/1", "", c.header)
			eventually(t, func() bool { return called.InFlight() == 0 })
			close(seen)
			is.New(t).Equal(string(<-seen), c.want)
		})
	}
}

// TestEvents guards against a timeline that does not show the steps of a call.
func TestEvents(t *testing.T) {
	caller, called := startPair(t, startTarget(t, echo), nil)
	_ = caller.ask(t, "POST", "/catalogue/1", "goat", "Basillift-Call: c1")
	_ = caller.ask(t, "POST", "/reservations/1", "goat", "Basillift-Call: c2")
	eventually(t, func() bool { return caller.InFlight()+called.InFlight() == 0 })
	is.New(t).Equal(caller.mesh.eventKinds(), "c1 call.accepted, c1 call.routed, c1 call.answered, c2 call.accepted, c2 call.refused")
	is.New(t).Equal(called.mesh.eventKinds(), "c1 call.admitted, c1 call.started, c1 call.ended")
}

func (m *mesh) eventKinds() string {
	var kinds []string
	m.locked(func() {
		for _, e := range m.events {
			kinds = append(kinds, e.Call()+" "+string(e.Kind()))
		}
	})
	return strings.Join(kinds, ", ")
}
