package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladvisory"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blfleet"
)

func uploadMetadata(now time.Time, timeout time.Duration) requestMetadata {
	return requestMetadata{route: "upload", latencyObjective: timeout, softDeadline: now.Add(timeout), deadline: now.Add(timeout)}
}

// reservedCount returns the number of reservations.
func (rs *reservations) reservedCount() int {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	return len(rs.byRequest)
}

// Guards against large bodies that cross a slow link at the same time and delay all other requests.
func TestTransferQueue(t *testing.T) {
	ctx := context.Background()
	now := time.Now()
	t.Run("one body at a time", func(t *testing.T) {
		is := is.New(t)
		tq := newTransferQueue()
		is.True(tq.reserveTransfer(ctx, now, acceptedAs("first"), uploadMetadata(now, hangGuard), 0) == nil)
		second := make(chan *answer, 1)
		go func() {
			second <- tq.reserveTransfer(ctx, now, acceptedAs("second"), uploadMetadata(now, hangGuard), 0)
		}()
		for tq.load().Queued() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(second), 0)
		tq.endTransfer(now.Add(100*time.Millisecond), "first", true)
		is.True(<-second == nil)
		is.Equal(tq.reservedCount(), 1)
	})
	t.Run("a body that cannot meet its soft deadline is refused at once", func(t *testing.T) {
		is := is.New(t)
		tq := newTransferQueue()
		// The first body gives the estimate of the transfer time.
		is.True(tq.reserveTransfer(ctx, now, acceptedAs("a"), uploadMetadata(now, time.Second), 0) == nil)
		tq.endTransfer(now.Add(400*time.Millisecond), "a", true)
		is.True(tq.reserveTransfer(ctx, now, acceptedAs("b"), uploadMetadata(now, time.Second), 0) == nil)
		refusal := tq.reserveTransfer(ctx, now, acceptedAs("c"), uploadMetadata(now, 500*time.Millisecond), 300*time.Millisecond)
		is.True(refusal != nil)
		is.Equal(refusal.outcome, basillift.OutcomeNotRun)
		is.True(refusal.retryAfter > 0)
	})
	t.Run("a body that does not arrive frees the link", func(t *testing.T) {
		is := is.New(t)
		tq := newTransferQueue()
		is.True(tq.reserveTransfer(ctx, now, acceptedAs("lost"), uploadMetadata(now, hangGuard), 0) == nil)
		tq.endTransfer(now, "lost", false)
		tq.endTransfer(now, "lost", false)
		is.True(tq.reserveTransfer(ctx, now, acceptedAs("next"), uploadMetadata(now, hangGuard), 0) == nil)
	})
}

// startSlowLinkMesh starts two daemons. Only the target of the second one is in the fleet, and its VM has a slow link.
func startSlowLinkMesh(t *testing.T, f *fakeTarget) *mesh {
	t.Helper()
	m := startMesh(t, startTarget(t, answerOK), f)
	m.fleet.Apply(time.Now(), removalOf("t0", 100))
	m.forwarders[1].transfers = newTransferQueue()
	return m
}

// Guards against a body that is sent while the link is in use, and against a reservation that is never released.
func TestLargeBodyReservesSlowLink(t *testing.T) {
	is := is.New(t)
	f := startTarget(t, answerOK)
	m := startSlowLinkMesh(t, f)
	m.publish(t, 2, 2*hangGuard)
	tq := m.forwarders[1].transfers
	body := strings.Repeat("b", blbalance.LargeBodyBytes)
	t.Run("free link", func(t *testing.T) {
		c := m.dial(t, 0)
		c.send(withoutTimeLimit(get("first", "/get/x")))
		c.assertAnswer(200, "")
		c.send(withoutTimeLimit(post("p1", body)))
		c.assertAnswer(200, "/post/x "+body)
		is.Equal(tq.reservedCount(), 0)
		is.True(tq.load().MeanServiceTime() > 0)
	})
	t.Run("streamed body", func(t *testing.T) {
		c := m.dial(t, 0)
		c.send(withoutTimeLimit(post("p4", strings.Repeat("s", 2*maxBufferedBytes))))
		c.assertAnswer(200, "")
		is.Equal(f.count("p4"), 1)
		is.Equal(tq.reservedCount(), 0)
		is.Equal(tq.load().Running(), 0)
	})
	t.Run("no load report of the link yet", func(t *testing.T) {
		other := startSlowLinkMesh(t, f)
		transfers := other.forwarders[1].transfers
		now := time.Now()
		is := is.New(t)
		is.True(transfers.reserveTransfer(context.Background(), now, acceptedAs("slow"), uploadMetadata(now, hangGuard), 0) == nil)
		transfers.endTransfer(now.Add(20*time.Second), "slow", true)
		is.True(transfers.reserveTransfer(context.Background(), now, acceptedAs("other"), uploadMetadata(now, hangGuard), 0) == nil)
		c := other.dial(t, 0)
		c.send(post("p0", body))
		c.assertAnswer(503, "")
		is.Equal(f.count("p0"), 0)
	})
	t.Run("link in use", func(t *testing.T) {
		now := time.Now()
		for i := range 2 {
			// The mean transfer time becomes long, and the link is in use.
			id := fmt.Sprintf("other%d", i)
			is.True(tq.reserveTransfer(context.Background(), now, acceptedAs(id), uploadMetadata(now, hangGuard), 0) == nil)
			if i == 0 {
				tq.endTransfer(now.Add(20*time.Second), id, true)
			}
		}
		c := m.dial(t, 0)
		c.send(post("p2", body))
		c.assertAnswer(503, "")
		is.Equal(f.count("p2"), 0)
		small := m.dial(t, 0)
		small.send(post("p3", "b"))
		small.assertAnswer(200, "/post/x b")
	})
}

// Guards against large bodies that are all sent to the target whose link is in use. The test covers the part of
// blbalance: how the balancer uses the backlog in the load reports.
func TestBalancerCountsLinkBacklog(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	balancer := blbalance.New("z", bladvisory.New(), rand.New(rand.NewSource(1)))
	fleet := blfleet.New()
	for i, backlog := range []time.Duration{700 * time.Millisecond, 0} {
		instance := fmt.Sprintf("i%d", i)
		e := basillift.NewEndpoint(instance, "s", fmt.Sprintf("10.0.0.%d:80", i+1), "z", 9, basillift.TargetReady)
		fleet.Apply(now, basillift.NewRegistryEntry(instance, basillift.Revision(i)+1).WithEndpoint(e))
		load := basillift.NewLoad(i, 0, 9, 100*time.Millisecond).WithSlowLink(backlog)
		target := fleet.Targets("s")[i]
		balancer.Started(now, target)
		balancer.Ended(now, target, blbalance.NewRequest("route", 0, now), blbalance.ResultAnswered, 100*time.Millisecond, &load)
		is.True(balancer.SlowLink(instance))
	}
	large := blbalance.NewRequest("route", blbalance.LargeBodyBytes, now.Add(500*time.Millisecond))
	small := blbalance.NewRequest("route", 100, now.Add(500*time.Millisecond))
	for range 10 {
		chosen, _ := balancer.Choose(now, fleet.Targets("s"), nil, large)
		is.Equal(chosen.Endpoint().Instance(), "i1")
		chosen, _ = balancer.Choose(now, fleet.Targets("s"), nil, small)
		is.Equal(chosen.Endpoint().Instance(), "i0")
	}
}
