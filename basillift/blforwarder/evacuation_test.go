package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfleet"
)

func evacuationOf(domain basillift.FailureDomain, revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry("evacuate "+string(domain), revision).WithEvacuation(domain)
}

// evacuate applies an entry of an evacuation at all daemons.
func (m *mesh) evacuate(entry basillift.RegistryEntry) {
	now := time.Now()
	m.fleet.Apply(now, entry)
	for _, f := range m.forwarders {
		f.TargetsChanged(now)
	}
}

// startFullDomain starts a full mesh whose full target, beside daemon 1, is in failure domain "a" and whose other one is in "b".
func startFullDomain(t *testing.T) *fullMesh {
	t.Helper()
	m := startFullMesh(t, 1)
	e := basillift.NewEndpoint("i0", "catalogue", m.targets[0].address, "b", 4, basillift.TargetReady).WithDaemon(m.daemonAddresses[0])
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 20).WithEndpoint(e))
	m.fleet.Apply(time.Now(), evacuationOf("b", 21))
	return m
}

// Guards against requests that are sent to a target after its failure domain was evacuated, since they were accepted before, and
// against requests in flight that are cut by the evacuation.
func TestEvacuationWhileRequestsWait(t *testing.T) {
	assertServedElsewhere := func(t *testing.T, evacuate func(m *fullMesh)) {
		t.Helper()
		m := startFullDomain(t)
		c := m.sendWaiting(t, 0, 1)
		m.evacuate(removalOf("evacuate b", 22))
		evacuate(m)
		c.assertAnswer(http.StatusOK, "/post/x x")
		is.New(t).Equal(m.target.count("waiting"), 0)
		select {
		case <-m.release:
		default:
			close(m.release)
		}
		for _, held := range m.held {
			held.assertAnswer(http.StatusOK, "/post/x x")
		}
	}
	t.Run("at once", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh) { m.evacuate(evacuationOf("a", 23)) })
	})
	t.Run("unnoticed until its slot is free", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh) {
			m.fleet.Apply(time.Now(), evacuationOf("a", 23))
			close(m.release)
		})
	})
	t.Run("ended within a second", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh) {
			m.evacuate(evacuationOf("a", 23))
			m.evacuate(removalOf("evacuate a", 24))
		})
	})
}

// Guards against a caller that does not learn when to come back, or gets no answer, and against targets that stay unused.
func TestAllTargetsEvacuated(t *testing.T) {
	is := is.New(t)
	m := startMesh(t, startTarget(t, answerOK), startTarget(t, answerOK))
	c := m.dial(t, 0)
	m.evacuate(evacuationOf("a", 20))
	c.send(strings.Replace(post("evacuated", "x"), "X-Deadline: 900", "X-Deadline: 9000", 1))
	a := c.assertAnswer(http.StatusServiceUnavailable, "")
	is.Equal(a.header.Get("Retry-After"), "1.000")
	lines := strings.Join(m.forwarders[0].Explain(time.Now(), blexplain.NewQuery("shop.example", "/get/x")).Lines, "\n")
	is.True(strings.Contains(lines, "target i0: evacuated since 2") && strings.Contains(lines, "target i1: evacuated since 2"))
	is.True(strings.Contains(lines, "none; the answer is 503"))
	var text strings.Builder
	m.forwarders[0].WriteMetrics(&text)
	is.True(strings.Contains(text.String(), "basillift_evacuated_domains 1\n"))
	is.True(strings.Contains(text.String(), `basillift_evacuated_since_seconds{domain="a"} `))
	is.True(strings.Contains(text.String(), `reason="evacuated"`))
	m.evacuate(removalOf("evacuate a", 21))
	c.send(get("ended", "/get/x"))
	c.assertAnswer(http.StatusOK, "")
	text.Reset()
	m.forwarders[0].WriteMetrics(&text)
	is.True(strings.Contains(text.String(), "basillift_evacuated_domains 0\n") && !strings.Contains(text.String(), "evacuated_since"))
}

// Guards against requests of daemons that do not know yet that the target is evacuated, also for those that have a slot reserved.
func TestEvacuatedTargetRefuses(t *testing.T) {
	ctx := context.Background()
	target := startTarget(t, answerOK)
	m := startMesh(t, target)
	side := m.forwarders[0].targetSide
	request := func() (*request, requestMetadata) {
		now := time.Now()
		meta := uploadMetadata(now, hangGuard)
		meta.instance = "i0"
		return &request{method: http.MethodPost, uri: "/post/x", arrived: now, fields: []field{{"X-Id", "reserved"}}}, meta
	}
	r, meta := request()
	a := side.serveReservation(ctx, r, meta)
	is.New(t).Equal(a.outcome, basillift.OutcomeDone)
	m.evacuate(evacuationOf("a", 20))
	assertRefused := func(t *testing.T, a *answer) {
		t.Helper()
		is := is.New(t)
		is.Equal(a.outcome, basillift.OutcomeNotRun)
		is.Equal(a.reason, basillift.ReasonEvacuated)
		is.Equal(string(attemptResult(a)), "unreachable")
		is.Equal(target.total(), 0)
	}
	t.Run("with a reserved slot", func(t *testing.T) { assertRefused(t, side.run(ctx, r, meta)) })
	t.Run("reservation", func(t *testing.T) { assertRefused(t, side.serveReservation(ctx, r, meta)) })
	t.Run("entry of the target is missing", func(t *testing.T) {
		m.fleet.Apply(time.Now(), removalOf("t0", 21))
		m.fleet.Tick(time.Now().Add(time.Hour))
		m.fleet.Replace(time.Now(), 22, []basillift.RegistryEntry{evacuationOf("a", 20)})
		r, meta := request()
		assertRefused(t, side.run(ctx, r, meta))
	})
}

// Guards against a wait for a reservation that goes on after the evacuation.
func TestReservationWaitEndsWithEvacuation(t *testing.T) {
	m := startFullDomain(t)
	t.Cleanup(func() { close(m.release) })
	now := time.Now()
	r := &request{method: http.MethodPost, uri: "/post/x", arrived: now, fields: []field{{"X-Id", "upload"}}}
	meta := uploadMetadata(now, 10*hangGuard)
	meta.instance = "i1"
	answers := make(chan *answer, 1)
	go func() { answers <- m.forwarders[1].targetSide.serveReservation(context.Background(), r, meta) }()
	m.awaitQueued(t, 1, 1)
	m.evacuate(evacuationOf("a", 23))
	select {
	case a := <-answers:
		is.New(t).Equal(a.reason, basillift.ReasonEvacuated)
	case <-time.After(hangGuard):
		t.Fatal("the reservation still waits")
	}
}

// Guards against requests that are refused to their callers, since a daemon that does not know of the evacuation yet tries one
// evacuated target after the other.
func TestCallersDaemonLearnsOfEvacuationLate(t *testing.T) {
	targets := make([]*fakeTarget, 6)
	for i := range targets {
		targets[i] = startTarget(t, answerOK)
	}
	m := startMesh(t, targets[:5]...)
	late := blfleet.New()
	s := NewSettings("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0").WithTarget(targets[5].address, "catalogue", "a").WithHeaderNames(testHeaderNames)
	fw := New(s, m.tables, late, nil, rand.New(rand.NewSource(1)))
	fw.SetRevisionGossip(fixedGossip{})
	m.run(t, fw)
	for i, f := range targets[:5] {
		late.Apply(time.Now(), basillift.NewRegistryEntry(fmt.Sprintf("t%d", i), 1).WithEndpoint(m.endpointOf(i, f)))
	}
	other := basillift.NewEndpoint("i5", "catalogue", targets[5].address, "b", 4, basillift.TargetReady).WithDaemon(m.daemonAddresses[5])
	late.Apply(time.Now(), basillift.NewRegistryEntry("t5", 1).WithEndpoint(other))
	m.evacuate(evacuationOf("a", 20))
	c := m.dial(t, 5)
	c.send(post("late", "x"))
	c.assertAnswer(http.StatusOK, "/post/x x")
	is.New(t).Equal(targets[5].count("late"), 1)
}

// Guards against a cost for requests of a deployment without evacuations.
func TestNoAllocationWithoutEvacuation(t *testing.T) {
	f := startMesh(t, startTarget(t, answerOK)).forwarders[0]
	allocations := testing.AllocsPerRun(100, func() { f.ownTargetEvacuated() })
	is.New(t).Equal(allocations, 0.0)
}
