package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/bltable"
)

// testGracePeriod is the time for a stop. A request that can't be answered before its end is refused.
const testGracePeriod = 300 * time.Millisecond

// fullMesh is a mesh of two daemons with one target, all of whose slots are taken until release is closed.
type fullMesh struct {
	*mesh
	target  *fakeTarget
	targets []*fakeTarget
	release chan struct{}
	// held are the callers whose requests have the slots.
	held []*caller
}

// startFullMesh starts a mesh with the target beside the daemon with a number.
func startFullMesh(t *testing.T, targetDaemon int) *fullMesh {
	t.Helper()
	m := &fullMesh{release: make(chan struct{})}
	m.target = startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		<-m.release
		return answerOK(w, r, body)
	})
	targets := []*fakeTarget{startTarget(t, answerOK), startTarget(t, answerOK)}
	targets[targetDaemon] = m.target
	m.targets = targets
	m.mesh = startMesh(t, targets...)
	m.fleet.Apply(time.Now(), removalOf(fmt.Sprintf("t%d", 1-targetDaemon), 9))
	m.publish(t, 2, 10*hangGuard)
	for i := range defaultSlots {
		id := fmt.Sprintf("held%d", i)
		c := m.dial(t, 1)
		m.held = append(m.held, c)
		c.send(withoutDeadline(post(id, "x")))
		for m.target.count(id) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return m
}

// sendWaiting sends a request that must not run twice, and waits until the target's daemon has queued it.
func (m *fullMesh) sendWaiting(t *testing.T, daemon, targetDaemon int) *caller {
	t.Helper()
	c := m.dial(t, daemon)
	c.send(withoutDeadline(post("waiting", "x")))
	for m.forwarders[targetDaemon].admission.load().Queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// stop drains a daemon and ends it.
func (m *mesh) stop(daemon int) {
	ctx, cancel := context.WithTimeout(context.Background(), testGracePeriod)
	defer cancel()
	m.forwarders[daemon].failedReadyChecks.Store(readyFailureThreshold)
	m.forwarders[daemon].Drain(ctx)
	m.cancels[daemon]()
}

// Guards against requests that a planned stop ends without an answer (LOST): they wait for a slot that they can't get in time, or
// their daemon has not read them yet. They have not run, so their callers may send them again once they are refused.
func TestStopAnswersWaitingRequests(t *testing.T) {
	assertRefused := func(t *testing.T, m *fullMesh, c *caller) {
		t.Helper()
		c.assertAnswer(http.StatusServiceUnavailable, "")
		close(m.release)
		last := m.dial(t, 1)
		last.send(withoutDeadline(post("last", "x")))
		last.read()
		is.New(t).Equal(m.target.count("waiting"), 0)
	}
	t.Run("at another daemon", func(t *testing.T) {
		m := startFullMesh(t, 1)
		c := m.sendWaiting(t, 0, 1)
		go m.stop(0)
		assertRefused(t, m, c)
	})
	t.Run("at the daemon that stops", func(t *testing.T) {
		m := startFullMesh(t, 0)
		c := m.sendWaiting(t, 0, 0)
		go m.stop(0)
		assertRefused(t, m, c)
	})
	t.Run("of another daemon's caller", func(t *testing.T) {
		m := startFullMesh(t, 0)
		c := m.sendWaiting(t, 1, 0)
		go m.stop(0)
		assertRefused(t, m, c)
	})
	t.Run("at a daemon that does not answer", func(t *testing.T) {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = silent.Close() })
		m := startMesh(t, startTarget(t, answerOK))
		m.publish(t, 2, hangGuard)
		e := basillift.NewEndpoint("i0", "catalogue", "127.0.0.1:1", "a", 4, basillift.TargetReady).WithDaemon(silent.Addr().String())
		m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 9).WithEndpoint(e))
		c := m.dial(t, 0)
		c.send(withoutTimeLimit(post("waiting", "x")))
		conn, err := silent.Accept()
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		go m.stop(0)
		c.assertAnswer(http.StatusGatewayTimeout, "")
	})
	t.Run("in the socket of an idle connection", func(t *testing.T) {
		m := startMesh(t, startTarget(t, answerOK))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer func() { _ = l.Close() }()
		m.callerAddresses[0] = l.Addr().String()
		c := m.dial(t, 0)
		conn, err := l.Accept()
		is.New(t).NoErr(err)
		f := m.forwarders[0]
		f.callerServer.serve(t.Context(), &lateConn{Conn: conn, interrupted: make(chan struct{})})
		c.send(withoutTimeLimit(post("unread", "x")))
		go m.stop(0)
		is.New(t).True(c.assertAnswer(http.StatusServiceUnavailable, "").close)
	})
	t.Run("in the queue of the listener", func(t *testing.T) {
		m := &mesh{}
		s := NewSettings("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0").WithHeaderNames(testHeaderNames)
		f := New(s, bltable.NewHolder(), blfleet.New(), nil, rand.New(rand.NewSource(1)))
		is.New(t).NoErr(f.Listen())
		m.callerAddresses = []string{f.callerServer.listener.Addr().String()}
		c := m.dial(t, 0)
		c.send(post("unread", "x"))
		f.failedReadyChecks.Store(readyFailureThreshold)
		drained := make(chan struct{})
		go func() { f.Drain(context.Background()); close(drained) }()
		time.Sleep(5 * drainCheckInterval)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		is.New(t).True(c.assertAnswer(http.StatusServiceUnavailable, "").close)
		<-drained
		cancel()
		is.New(t).NoErr(<-ended)
	})
}

// Guards against requests that are refused by a stop although they can be answered before its end.
func TestStopServesWhatItCan(t *testing.T) {
	m := startFullMesh(t, 1)
	c := m.sendWaiting(t, 0, 1)
	drained := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*hangGuard)
		defer cancel()
		m.forwarders[0].Drain(ctx)
		close(drained)
	}()
	for !m.forwarders[0].stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	close(m.release)
	is.New(t).True(c.assertAnswer(http.StatusOK, "").close)
	m.forwarders[0].failedReadyChecks.Store(readyFailureThreshold)
	<-drained
}

// lateConn is the connection of an overloaded daemon: it has not read what has arrived before its first read is interrupted.
type lateConn struct {
	net.Conn
	once        sync.Once
	interrupted chan struct{}
}

func (l *lateConn) Read(p []byte) (int, error) {
	select {
	case <-l.interrupted:
		n, err := l.Conn.Read(p)
		return n, err //nolint:wrapcheck // the session tells the errors apart
	default:
	}
	<-l.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (l *lateConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		l.once.Do(func() { close(l.interrupted) })
	}
	return l.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // a test double
}

// Guards against a message about deadlines that is lost or changes other requests.
func TestAnswerDeadlines(t *testing.T) {
	now := time.Now()
	t.Run("accepted requests", func(t *testing.T) {
		is := is.New(t)
		as := newAcceptedRequests()
		named, other := as.add("a", "i", waitLimits{}), as.add("b", "j", waitLimits{})
		changed := named.changes()
		is.Equal(as.lower([]string{"a", "c"}, waitLimits{answerBy: now}), []string{"c"})
		<-changed
		is.Equal(named.latestStart(now.Add(time.Second), 0), now)
		is.Equal(named.latestStart(now.Add(-time.Second), 0), now.Add(-time.Second))
		is.Equal(other.latestStart(now.Add(time.Second), 0), now.Add(time.Second))
		as.stop(now.Add(time.Second))
		is.Equal(named.latestStart(now.Add(time.Hour), 0), now)
		is.Equal(other.latestStart(now.Add(time.Hour), 0), now.Add(time.Second))
		is.Equal(as.add("d", "i", waitLimits{}).latestStart(now.Add(time.Hour), 0), now.Add(time.Second))
		as.lowerInstances(func(instance string) waitLimits {
			if instance == "i" {
				return waitLimits{}
			}
			return waitLimits{startBy: now.Add(-time.Minute)}
		})
		is.Equal(named.latestStart(now.Add(time.Hour), 0), now)
		is.Equal(other.latestStart(now.Add(time.Hour), 0), now.Add(-time.Minute))
	})
	t.Run("a suspect that waits for another one", func(t *testing.T) {
		q := newQuarantine(func() []blquarantine.Fingerprint { return nil })
		first, second := newTargetRun(&request{uri: "/1"}, acceptedAs("1")), newTargetRun(&request{uri: "/2"}, acceptedAs("2"))
		q.merge(now, blquarantine.NewSuspicion(first.fingerprint(), 1, now), blquarantine.NewSuspicion(second.fingerprint(), 1, now))
		is.New(t).True(q.enter(t.Context(), now, first, now, 0) == nil)
		entered := make(chan *answer)
		go func() { entered <- q.enter(t.Context(), now, second, now.Add(hangGuard), 0) }()
		for q.countWaiting(0) == 0 {
			time.Sleep(time.Millisecond)
		}
		second.accepted.lower(waitLimits{answerBy: now})
		is.New(t).Equal((<-entered).reason, basillift.ReasonOverload)
	})
	t.Run("header", func(t *testing.T) {
		is := is.New(t)
		b := requestMetadata{answerBy: now.Add(time.Second)}.appendAnswerBy(nil, now)
		text, found := strings.CutPrefix(strings.TrimSpace(string(b)), headerAnswerBy+": ")
		is.True(found)
		got, valid := parseAnswerBy(text, now)
		is.True(valid)
		is.Equal(got, now.Add(time.Second))
	})
	for _, text := range []string{"", "x", "99999999999999999", "-99999999999999999", "99999999999999999999"} {
		t.Run("malformed header "+text, func(t *testing.T) {
			_, valid := parseAnswerBy(text, now)
			is.New(t).True(!valid)
		})
	}
}

// Guards against requests that wait for a slot of a target and are sent to it after its drain period (DRAIN): it ends, and cuts
// them. They have not run, so another target can serve them.
func TestLeavingTargetGetsNoWaitingRequests(t *testing.T) {
	assertServedElsewhere := func(t *testing.T, leave func(m *fullMesh, now time.Time)) {
		t.Helper()
		m := startFullMesh(t, 1)
		c := m.sendWaiting(t, 0, 1)
		now := time.Now()
		e := basillift.NewEndpoint("i0", "catalogue", m.targets[0].address, "a", 4, basillift.TargetReady).WithDaemon(m.daemonAddresses[0])
		m.fleet.Apply(now, basillift.NewRegistryEntry("t0", 20).WithEndpoint(e))
		leave(m, now)
		released := time.AfterFunc(m.forwarders[1].settings.drainPeriod, func() { close(m.release) })
		c.assertAnswer(http.StatusOK, "/post/x x")
		is.New(t).Equal(m.target.count("waiting"), 0)
		if released.Stop() {
			close(m.release)
		}
	}
	t.Run("by the registry", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh, now time.Time) {
			m.fleet.Apply(now, removalOf("t1", 21))
			m.forwarders[1].TargetsChanged(now)
		})
	})
	t.Run("by its own answer", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh, now time.Time) {
			m.forwarders[1].observeOwnAnswer(now, "i1", &answer{fields: []field{{"X-Leaving", "1"}}})
		})
	})
	t.Run("unnoticed until its slot is free", func(t *testing.T) {
		assertServedElsewhere(t, func(m *fullMesh, now time.Time) {
			m.fleet.Apply(now.Add(-m.forwarders[1].settings.drainPeriod), removalOf("t1", 21))
		})
	})
}
