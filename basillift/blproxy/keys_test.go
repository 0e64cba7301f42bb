package blproxy

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blidempotency"
)

const keyHeader = "Idempotency-Key: k1"

// startOwners starts three daemons that own all keys; all calls run at the target of the first.
func startOwners(t *testing.T, target string) []*daemon {
	t.Helper()
	var owners []*daemon
	for _, id := range []basillift.VMID{"vm-a", "vm-b", "vm-c"} {
		owners = append(owners, startDaemon(t, id, target, nil))
	}
	connectDaemons(t, owners...)
	for _, o := range owners {
		o.addTargets(owners[0])
		o.keys.adoptOwners([]basillift.VMID{"vm-a", "vm-b", "vm-c"})
	}
	return owners
}

// waitSettled waits until all owners have released the key or stored its answer.
func waitSettled(t *testing.T, owners []*daemon) {
	t.Helper()
	key := blidempotency.NewKey("kobuleti", "catalogue", "k1")
	for _, o := range owners {
		eventually(t, func() bool {
			kind := o.keys.claim(time.Now(), key, "probe").Kind()
			o.keys.settle(time.Now(), key, "probe", blidempotency.NotRun())
			return kind != blidempotency.GrantRunning
		})
	}
}

// TestKeys guards against a request with a key that runs twice, and against refusing a retry
// although the first request certainly did not run.
func TestKeys(t *testing.T) {
	cases := []struct {
		name, reply                 string
		first, second               int
		firstOutcome, secondOutcome string
		runs                        int32
	}{
		{"answered", okAnswer, 200, 200, "", "", 1},
		{"error answer", errorAnswer, 500, 500, "", "", 1},
		{"no answer", "", 502, 409, "unknown", "unknown", 1},
		{"unclear", unclearAnswer, 503, 409, "unknown", "unknown", 1},
		{"not run", notRunAnswer, 503, 503, "not-run", "not-run", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			owners := startOwners(t, startScripted(t, &runs, c.reply))
			// With a key, a request with an idempotent method must not run twice either.
			first := owners[0].ask(t, "PUT", "/catalogue/1", "goat", keyHeader)
			waitSettled(t, owners)
			second := owners[1].ask(t, "PUT", "/catalogue/1", "goat", keyHeader)
			is.New(t).Equal(first.StatusCode(), c.first)
			is.New(t).Equal(string(first.Header.Peek(HeaderOutcome)), c.firstOutcome)
			is.New(t).Equal(second.StatusCode(), c.second)
			is.New(t).Equal(string(second.Header.Peek(HeaderOutcome)), c.secondOutcome)
			is.New(t).Equal(runs.Load(), c.runs)
			if c.second == c.first && c.firstOutcome == "" {
				is.New(t).Equal(string(second.Body()), string(first.Body()))
			}
		})
	}
}

// TestKeyStillRunning guards against a retry that runs concurrently with the first request.
func TestKeyStillRunning(t *testing.T) {
	arrived, leave := make(chan struct{}), make(chan struct{})
	owners := startOwners(t, startTarget(t, func(*fasthttp.RequestCtx) {
		close(arrived) // a second run would panic here
		<-leave
	}))
	_, r := dialCaller(t, owners[0], "POST /catalogue/1"+requestHead+keyHeader+"\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	second := owners[1].ask(t, "POST", "/catalogue/1", "", keyHeader)
	assertRefused(t, second, 409, basillift.OutcomeNotRun, basillift.ReasonDuplicate)
	close(leave)
	assertAnswer(t, readResponse(t, r), 200, "")
}

// TestKeyOwners guards against a run without a quorum of owners, and against a refusal with one.
func TestKeyOwners(t *testing.T) {
	t.Run("one of three is gone", func(t *testing.T) {
		owners := startOwners(t, startTarget(t, echo))
		connectDaemons(t, owners[0], owners[1])
		assertAnswer(t, owners[0].ask(t, "POST", "/catalogue/1", "", keyHeader), 200, "POST /catalogue/1 ")
	})
	t.Run("two of three are gone", func(t *testing.T) {
		owners := startOwners(t, startTarget(t, echo))
		connectDaemons(t, owners[0])
		r := owners[0].ask(t, "POST", "/catalogue/1", "", keyHeader)
		assertRefused(t, r, 409, basillift.OutcomeUnknown, basillift.ReasonKeyUnknown)
	})
	t.Run("no owner list yet", func(t *testing.T) {
		caller, _ := startPair(t, startTarget(t, echo), nil)
		r := caller.ask(t, "POST", "/catalogue/1", "", keyHeader)
		assertRefused(t, r, 409, basillift.OutcomeUnknown, basillift.ReasonKeyUnknown)
	})
}

// TestFetchOwnerList guards against a new daemon whose list of key owners differs from that of its peers.
func TestFetchOwnerList(t *testing.T) {
	owners := startOwners(t, "127.0.0.1:1")
	late := startDaemon(t, "vm-d", "127.0.0.1:1", nil)
	late.addTargets(owners...)
	connectDaemons(t, append(owners, late)...)
	late.fetchOwnerList(t.Context())
	is.New(t).Equal(late.keys.ownerList(), []basillift.VMID{"vm-a", "vm-b", "vm-c"})
}
