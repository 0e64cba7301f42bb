package blforwarder

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/bltable"
	"basillift.dev/basillift/blwarmup"
)

// coldFake is a fake target with a cold start. It answers health checks and records the arrivals of other requests.
type coldFake struct {
	*fakeTarget
	mutex     sync.Mutex
	coldUntil time.Time
	// closes is set if the target closes the connection after each answer.
	closes   bool
	arrivals []time.Time
	// pairs makes requests of the path /get/pair wait for each other.
	pairs sync.WaitGroup
	conns []net.Conn
}

func (c *coldFake) script(w net.Conn, r *http.Request, body []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch r.URL.Path {
	case "/h":
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Cold: %d\r\nX-Runs-As: i0\r\nContent-Length: 0\r\n\r\n", max(0, time.Until(c.coldUntil).Milliseconds()))
		return err == nil
	case "/get/break":
		return false
	case "/get/pair":
		c.mutex.Unlock()
		c.pairs.Done()
		c.pairs.Wait()
		c.mutex.Lock()
	}
	c.arrivals = append(c.arrivals, time.Now())
	return answerOK(w, r, body) && !c.closes
}

// become makes the target cold for some time, forgets the arrivals, and sets whether it closes connections.
func (c *coldFake) become(coldFor time.Duration, closes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.coldUntil, c.closes, c.arrivals = time.Now().Add(coldFor), closes, nil
}

// restart ends all connections and, after the function has run, accepts new ones.
func (c *coldFake) restart(t *testing.T, meanwhile func()) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.currentListener().Close())
	c.mutex.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mutex.Unlock()
	meanwhile()
	l, err := net.Listen("tcp", c.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	c.listen(l)
}

// assertArrivals checks that no sliding second has more arrivals than a cold target accepts, and that there are some. It checks as
// well that there are not too many health checks, which have no id.
func (c *coldFake) assertArrivals(t *testing.T, maxChecks int) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first, most := 0, 0
	for last := range c.arrivals {
		for c.arrivals[last].Sub(c.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	if most == 0 || most > 24 {
		t.Errorf("%d requests in a second, want some and at most 24", most)
	}
	is.New(t).True(c.count("") <= maxChecks)
}

// noEvacuations knows of no evacuation.
type noEvacuations struct{}

func (noEvacuations) Evacuated(basillift.FailureDomain) (since time.Time, evacuated bool) {
	return time.Time{}, false
}

func (noEvacuations) EvacuationEnded(basillift.FailureDomain) (at time.Time, known bool) {
	return time.Time{}, false
}

// startColdMesh starts daemons of which only the first is beside the target, by a table with a cold start of 11 requests per second.
func startColdMesh(t *testing.T, daemons int, e evacuations) (*coldFake, *mesh) {
	t.Helper()
	c := &coldFake{}
	c.fakeTarget = startTarget(t, c.script)
	c.track(func(conn net.Conn) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.conns = append(c.conns, conn)
	})
	m := startEmptyMesh(t, c.fakeTarget)
	for i := 1; i < daemons; i++ {
		m.start(t, i, &fakeTarget{address: "127.0.0.1:1"})
		m.fleet.Apply(time.Now(), removalOf(fmt.Sprintf("t%d", i), 10))
	}
	route := basillift.NewRoute("get", "shop.example", "/get/", basillift.KindIdempotent, basillift.NewWeightedService("catalogue", 1)).
		WithTimes(time.Second, 300*time.Millisecond).WithAttempts(2)
	service := basillift.NewServiceLimits("catalogue", "/h", 100).WithColdStart(3*time.Second, 11)
	_, err := m.tables.Adopt(basillift.NewRoutingSpec(1, []basillift.Route{route}, []basillift.ServiceLimits{service}, basillift.ClientLimits{}))
	is.New(t).NoErr(err)
	m.forwarders[0].evacuations = e
	for _, f := range m.forwarders {
		f.TargetsChanged(time.Now())
	}
	return c, m
}

// awaitCause waits until the state of the target is known, or unknown for a cause. It returns whether there is a limit.
func (m *mesh) awaitCause(t *testing.T, want blwarmup.Cause) (limited bool) {
	t.Helper()
	for end := time.Now().Add(hangGuard); time.Now().Before(end); time.Sleep(time.Millisecond) {
		limit := m.forwarders[0].cold.limit.Load()
		if limit == nil && want == blwarmup.CauseNone || limit != nil && limit.Cause() == want {
			return limit != nil
		}
	}
	t.Fatalf("the state did not become that of cause %q", want)
	return false
}

// Guards against a cold target that gets more requests than it accepts from several daemons together.
func TestColdTargetGetsFewRequests(t *testing.T) {
	is := is.New(t)
	evacuation := &evacuatedDomain{}
	c, m := startColdMesh(t, 3, evacuation)
	c.become(time.Minute, false)
	evacuation.end(m)
	is.True(m.awaitCause(t, blwarmup.CauseNone))
	served, refused := m.pressFor(t, 2*time.Second, 4)
	is.True(served > 0)
	is.True(refused > 0)
	c.assertArrivals(t, 1)
	for i, want := range []string{"target of this VM: gets 11 requests per second", "usable, cold, gets 11 requests per second"} {
		lines := m.forwarders[i].Explain(time.Now(), blexplain.NewQuery("shop.example", "/get/x")).Lines
		is.True(strings.Contains(strings.Join(lines, "\n"), want))
	}
}

// evacuatedDomain is a failure domain that is evacuated until a time.
type evacuatedDomain struct{ ended time.Time }

func (e *evacuatedDomain) Evacuated(basillift.FailureDomain) (time.Time, bool) {
	return time.Time{}, e.ended.IsZero()
}

func (e *evacuatedDomain) EvacuationEnded(basillift.FailureDomain) (time.Time, bool) {
	return e.ended, !e.ended.IsZero()
}

func (e *evacuatedDomain) end(m *mesh) {
	e.ended = time.Now()
	m.forwarders[0].TargetsChanged(e.ended)
}

// Guards against a target at full rate after an evacuation, since its entry names another failure domain than the settings, or since a
// request arrives before the daemon has been told of the end.
func TestColdTargetAfterEvacuationByItsEntry(t *testing.T) {
	is := is.New(t)
	c, m := startColdMesh(t, 1, noEvacuations{})
	f := m.forwarders[0]
	f.evacuations = m.fleet
	e := basillift.NewEndpoint("i0", "catalogue", c.address, "b", 4, basillift.TargetReady).WithDaemon(m.daemonAddresses[0])
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 20).WithEndpoint(e))
	is.True(!m.awaitCause(t, blwarmup.CauseNone))
	m.evacuate(evacuationOf("b", 21))
	c.become(time.Minute, false)
	m.fleet.Apply(time.Now(), removalOf("evacuate b", 22))
	is.True(f.targetSide.checkAvailable(time.Now(), requestMetadata{instance: "i0"}) == nil)
	is.True(m.awaitCause(t, blwarmup.CauseNone))
}

// Guards against a warm target that stays limited after the start of its daemon or a single broken request, or gets several health
// checks.
func TestWarmTargetIsNotLimited(t *testing.T) {
	is := is.New(t)
	c, m := startColdMesh(t, 1, noEvacuations{})
	is.True(!m.awaitCause(t, blwarmup.CauseNone))
	c.pairs.Add(2)
	callers := []*caller{m.dial(t, 0), m.dial(t, 0)}
	for i, each := range callers {
		each.send(get(fmt.Sprint("pair", i), "/get/pair"))
	}
	for _, each := range callers {
		each.assertAnswer(http.StatusOK, "")
	}
	callers[0].send(get("broken", "/get/break"))
	callers[0].assertAnswer(http.StatusBadGateway, "")
	is.True(!m.awaitCause(t, blwarmup.CauseNone))
	for i := range 60 {
		callers[1].send(get(fmt.Sprint(i), "/get/x"))
		callers[1].assertAnswer(http.StatusOK, "")
	}
	is.Equal(c.count(""), 1)
}

// Guards against a warm target that is limited with each request on the connection that replaced closed ones.
func TestTargetThatClosedConnectionsIsNotLimited(t *testing.T) {
	is := is.New(t)
	c, m := startColdMesh(t, 1, noEvacuations{})
	m.awaitCause(t, blwarmup.CauseNone)
	callers := []*caller{m.dial(t, 0), m.dial(t, 0)}
	for _, closes := range []bool{true, false} {
		c.become(0, closes)
		callers[0].send(get(fmt.Sprint("closes", closes), "/get/x"))
		callers[0].assertAnswer(http.StatusOK, "")
		for closes && m.forwarders[0].pools.Of(c.address).AnyIdle(time.Now()) {
			time.Sleep(time.Millisecond)
		}
	}
	is.True(!m.awaitCause(t, blwarmup.CauseNone))
	// Both the connection of the health check and the one that replaced the closed one are used.
	c.pairs.Add(2)
	for i, each := range callers {
		each.send(get(fmt.Sprint("pair", i), "/get/pair"))
	}
	for _, each := range callers {
		each.assertAnswer(http.StatusOK, "")
	}
	is.Equal(m.forwarders[0].cold.limit.Load(), nil)
}

// Guards against a target that starts again beside its daemon, under the same instance, and gets requests at full rate.
func TestRestartedTargetIsLimited(t *testing.T) {
	for name, closes := range map[string]bool{"while it refuses connections": false, "which only its closed connections show": true} {
		t.Run(name, func(t *testing.T) {
			c, m := startColdMesh(t, 1, noEvacuations{})
			m.awaitCause(t, blwarmup.CauseNone)
			c.become(0, closes)
			caller := m.dial(t, 0)
			caller.send(get("first", "/get/x"))
			caller.assertAnswer(http.StatusOK, "")
			c.become(time.Minute, false)
			if !closes {
				c.restart(t, func() {
					caller.send(get("down", "/get/x"))
					caller.assertAnswer(http.StatusServiceUnavailable, "")
					m.awaitCause(t, blwarmup.CauseRefused)
				})
				m.awaitCause(t, blwarmup.CauseNone)
			}
			m.pressFor(t, 1500*time.Millisecond, 4)
			is.New(t).True(m.awaitCause(t, blwarmup.CauseNone))
			// The answer to a check is not used if a further connection breaks meanwhile. The next one follows after a warm-up.
			c.assertArrivals(t, 3)
		})
	}
}

// Guards against health checks and limits in a deployment that has no cold start.
func TestServiceWithoutColdStartIsNotLimited(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool { return answerOK(w, r, body) && r == nil })
	m := startMesh(t, target)
	m.forwarders[0].TargetsChanged(time.Now())
	served, _ := m.pressFor(t, 200*time.Millisecond, 2)
	is.True(served > 0)
	is.Equal(target.count(""), 0)
	is.True(!m.forwarders[0].cold.active.Load())
	is.Equal(m.forwarders[0].cold.limit.Load(), nil)
}

// Guards against two events for each request that a warm target breaks off.
func TestBrokenConnectionOfWarmTargetIsNotLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := bllog.New(&out, "info", "vm1")
	is.NoErr(err)
	tables, now := bltable.NewHolder(), time.Now()
	service := basillift.NewServiceLimits("catalogue", "/h", 100).WithColdStart(3*time.Second, 11)
	_, err = tables.Adopt(basillift.NewRoutingSpec(1, nil, []basillift.ServiceLimits{service}, basillift.ClientLimits{}))
	is.NoErr(err)
	f := New(NewSettings("", "", "").WithTarget("127.0.0.1:1", "catalogue", "a"), tables, blfleet.New(), log, rand.New(rand.NewSource(1)))
	f.TargetsChanged(now)
	f.cold.observe(now, func(s *blwarmup.State) { s.EndCheck(now, s.StartCheck(now), blwarmup.NewHealthAnswer("i", 0)) })
	is.True(strings.Contains(out.String(), `"event":410`) && strings.Contains(out.String(), `"event":411`))
	out.Reset()
	breakOff := func(outlived bool) {
		f.cold.observe(now, func(s *blwarmup.State) { s.ObserveBroken(now, now) })
		f.cold.observe(now, func(s *blwarmup.State) { s.ObserveOlderConnections(outlived) })
	}
	breakOff(true)
	is.Equal(out.String(), "")
	breakOff(false)
	is.True(strings.Contains(out.String(), `"event":410`))
}

// Guards against a load report that an older daemon cannot read, and against a cold limit that is lost or taken for the target's
// own limit.
func TestLoadReportCarriesColdLimit(t *testing.T) {
	is := is.New(t)
	plain := basillift.NewLoad(1, 2, 3, time.Second).WithSlowLink(time.Second).WithAdvisory(basillift.NewAdvisory().WithRequestLimit(25.8))
	cold := plain.WithColdLimit(11.5, 2500*time.Millisecond)
	is.Equal(formatLoad(cold), formatLoad(plain))
	for _, sent := range []basillift.Load{plain, cold} {
		a := &answer{}
		for line := range strings.Lines(string((&answer{load: &sent}).appendInternal(nil))) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			a.fields = append(a.fields, field{name, value})
		}
		a.parseInternalHeaders()
		is.Equal(*a.load, sent)
	}
	for _, text := range []string{"", "x 1", "11", "11 -1", "NaN 5", "11 99999999999999"} {
		_, _, limited := parseColdLimit(plain, text).ColdLimit()
		is.True(!limited)
	}
}

// Guards against callers' daemons that avoid a target for a whole warm-up because its daemon did not know it yet.
func TestReportOfUnknownStateIsShort(t *testing.T) {
	is := is.New(t)
	evacuation := &evacuatedDomain{}
	c, m := startColdMesh(t, 1, evacuation)
	remaining := func() time.Duration {
		_, d, limited := m.forwarders[0].targetSide.loadReport().ColdLimit()
		is.True(limited)
		return d
	}
	is.True(remaining() <= maxUnknownReport)
	c.become(time.Minute, false)
	evacuation.end(m)
	m.awaitCause(t, blwarmup.CauseNone)
	is.True(remaining() > maxUnknownReport)
}

func TestParseHealthAnswer(t *testing.T) {
	noHeader := blwarmup.NewHealthFailure(blwarmup.HealthNoHeader)
	for text, want := range map[string]blwarmup.HealthAnswer{
		"2500": blwarmup.NewHealthAnswer("i0", 2500*time.Millisecond), "0": blwarmup.NewHealthAnswer("i0", 0),
		"": blwarmup.NewHealthAnswer("i0", 0), "-1": noHeader, "x": noHeader, "9e9": noHeader,
	} {
		is := is.New(t)
		a := &answer{status: http.StatusOK, fields: []field{{"x-cold", text}, {"x-runs-as", "i0"}}}
		is.Equal(parseHealthAnswer(testHeaderNames, a), want)
		a.status = http.StatusServiceUnavailable
		is.Equal(parseHealthAnswer(testHeaderNames, a), blwarmup.NewHealthFailure(blwarmup.HealthFailed))
	}
	anyone := &answer{status: http.StatusOK}
	is.New(t).Equal(parseHealthAnswer(testHeaderNames, anyone), noHeader)
}
