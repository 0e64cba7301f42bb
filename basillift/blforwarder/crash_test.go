package blforwarder

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blquarantine"
)

// crashingPath is the path of the request that ends each target that starts to run it.
const crashingPath = "/get/crash"

// crashableTarget is a target whose process can end: its connections are reset and new ones refused until it restarts.
type crashableTarget struct {
	*fakeTarget
	mutex   sync.Mutex
	conns   map[net.Conn]struct{}
	crashes int
	// started receives the path of each request that the target starts to run.
	started chan string
	// release ends the requests that are held.
	release chan struct{}
}

// startCrashableTarget starts a target that crashes on crashes(request, body), holds the paths below /get/held until
// release is closed, and answers all other requests.
func startCrashableTarget(t *testing.T, crashes func(r *http.Request, body []byte) bool) *crashableTarget {
	t.Helper()
	c := &crashableTarget{conns: map[net.Conn]struct{}{}, started: make(chan string, 10000), release: make(chan struct{})}
	c.fakeTarget = startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		c.started <- r.URL.Path
		if crashes(r, body) {
			c.crash()
			return false
		}
		if strings.HasPrefix(r.URL.Path, "/get/held") {
			<-c.released()
		}
		return answerOK(w, r, body)
	})
	c.track(func(conn net.Conn) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.conns[conn] = struct{}{}
	})
	return c
}

// released returns the channel that is closed when held requests end.
func (c *crashableTarget) released() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.release
}

// holdAgain makes the target hold requests again after release was closed.
func (c *crashableTarget) holdAgain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.release = make(chan struct{})
}

// crash closes the listener and resets all connections.
func (c *crashableTarget) crash() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashes++
	_ = c.currentListener().Close()
	for conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(c.conns)
}

// restart listens on the same address again if the target has crashed.
func (c *crashableTarget) restart(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return
	}
	c.listen(l)
	t.Cleanup(func() { _ = l.Close() })
}

func (c *crashableTarget) crashCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.crashes
}

func crashesOnPath(r *http.Request, _ []byte) bool { return r.URL.Path == crashingPath }

// crashMesh is a mesh of targets that can crash.
type crashMesh struct {
	*mesh
	targets []*crashableTarget
	sent    int
}

func startCrashMesh(t *testing.T, count int, crashes func(r *http.Request, body []byte) bool) *crashMesh {
	t.Helper()
	m := &crashMesh{}
	fakes := make([]*fakeTarget, 0, count)
	for range count {
		c := startCrashableTarget(t, crashes)
		m.targets = append(m.targets, c)
		fakes = append(fakes, c.fakeTarget)
	}
	m.mesh = startMesh(t, fakes...)
	return m
}

func (m *crashMesh) crashes() int {
	total := 0
	for _, c := range m.targets {
		total += c.crashCount()
	}
	return total
}

// restartTargets restarts the targets that crashed. The daemons accept requests again once downPause has passed.
func (m *crashMesh) restartTargets(t *testing.T) {
	t.Helper()
	for _, c := range m.targets {
		c.restart(t)
	}
	time.Sleep(downPause)
}

// send sends a request on a new connection to a daemon and returns the status of its answer, 0 without an answer.
func (m *crashMesh) send(t *testing.T, daemon int, format func(id string) string) int {
	t.Helper()
	m.sent++
	c := m.dial(t, daemon)
	c.send(format(fmt.Sprintf("c%d", m.sent)))
	a := c.read()
	_ = c.conn.Close()
	return a.status
}

// sendToAll sends a request to each daemon in turn, as a caller that comes back, and returns how many targets crashed.
func (m *crashMesh) sendToAll(t *testing.T, format func(id string) string) int {
	t.Helper()
	before := m.crashes()
	for daemon := range m.forwarders {
		m.send(t, daemon, format)
		m.restartTargets(t)
	}
	return m.crashes() - before
}

// assertStops sends a request to all daemons until it crashes no target, and checks that it never crashes one again.
func (m *crashMesh) assertStops(t *testing.T, format func(id string) string) {
	t.Helper()
	const maxRounds = 8
	rounds := 0
	for m.sendToAll(t, format) > 0 {
		if rounds++; rounds == maxRounds {
			t.Fatalf("the request still crashes targets when it has crashed %d", m.crashes())
		}
	}
	is.New(t).Equal(m.sendToAll(t, format), 0)
}

// Guards against a request that crashes one target after the other (BUDGET): its caller sends it again, at any daemon.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) {
		m := startCrashMesh(t, 4, crashesOnPath)
		m.assertStops(t, func(id string) string { return get(id, crashingPath) })
	})
	t.Run("sent at most once", func(t *testing.T) {
		m := startCrashMesh(t, 4, func(_ *http.Request, body []byte) bool { return string(body) == "crash" })
		m.assertStops(t, func(id string) string { return post(id, "crash") })
		is.New(t).Equal(m.send(t, 0, func(id string) string { return post(id, "harmless") }), http.StatusOK)
	})
	t.Run("body that is streamed", func(t *testing.T) {
		body := strings.Repeat("c", maxBufferedBytes+1000)
		m := startCrashMesh(t, 4, func(_ *http.Request, received []byte) bool { return len(received) == len(body) })
		m.assertStops(t, func(id string) string { return post(id, body) })
	})
}

// startHeld sends a request that the target of a daemon holds until release is closed, and returns its connection.
func (m *crashMesh) startHeld(t *testing.T, target int, format func(id string) string) *caller {
	t.Helper()
	m.sent++
	c := m.dial(t, target)
	c.send(format(fmt.Sprintf("c%d", m.sent)))
	<-m.targets[target].started
	return c
}

// Guards against crashes that are not noticed or counted twice, and against other failures that are taken for a crash.
func TestTargetCrashIsDetected(t *testing.T) {
	assertCrashes := func(t *testing.T, m *crashMesh, want int) {
		t.Helper()
		is.New(t).Equal(int(m.forwarders[0].counters.crashes.Get()), want)
	}
	t.Run("several requests end with the target", func(t *testing.T) {
		m := startCrashMesh(t, 1, crashesOnPath)
		held := make([]*caller, 0, 3)
		for i := range 3 {
			held = append(held, m.startHeld(t, 0, func(id string) string { return get(id, fmt.Sprintf("/get/held%d", i)) }))
		}
		m.send(t, 0, func(id string) string { return get(id, crashingPath) })
		for _, c := range held {
			is.New(t).Equal(c.read().status, http.StatusBadGateway)
		}
		close(m.targets[0].release)
		assertCrashes(t, m, 1)
		m.restartTargets(t)
		m.send(t, 0, func(id string) string { return get(id, "/get/other") })
		assertCrashes(t, m, 1)
	})
	t.Run("answer that is broken off", func(t *testing.T) {
		m := &crashMesh{mesh: startMesh(t, startTarget(t, func(net.Conn, *http.Request, []byte) bool { return false }))}
		is.New(t).Equal(m.send(t, 0, func(id string) string { return post(id, "x") }), http.StatusBadGateway)
		assertCrashes(t, m, 0)
	})
	t.Run("target that was stopped before the request", func(t *testing.T) {
		m := startCrashMesh(t, 1, crashesOnPath)
		m.targets[0].crash()
		is.New(t).Equal(m.send(t, 0, func(id string) string { return post(id, "x") }), http.StatusServiceUnavailable)
		assertCrashes(t, m, 0)
	})
}

// Guards against a crashing request that is taken for another one, since its host is spelled differently.
func TestFingerprintIgnoresSpellingOfHost(t *testing.T) {
	of := func(host, uri string) blquarantine.Fingerprint {
		return fingerprintOf(&request{method: http.MethodGet, host: host, uri: uri})()
	}
	for _, host := range []string{"Shop.Example", "shop.example:80", "shop.example.", "SHOP.example.:8080"} {
		is.New(t).Equal(of(host, "/x"), of("shop.example", "/x"))
	}
	is.New(t).True(of("shop.example", "/X") != of("shop.example", "/x"))
}

// assertStatus sends a request to a daemon and checks the status of its answer.
func (m *crashMesh) assertStatus(t *testing.T, daemon int, format func(id string) string, want int) {
	t.Helper()
	is.New(t).Equal(m.send(t, daemon, format), want)
}

// awaitQuarantine waits until a daemon refuses the crashing request.
func (m *crashMesh) awaitQuarantine(t *testing.T, daemon int) {
	t.Helper()
	fingerprint := fingerprintOf(&request{method: http.MethodGet, host: "shop.example", uri: crashingPath})
	for end := time.Now().Add(hangGuard); m.forwarders[daemon].quarantine.refusal(time.Now(), fingerprint) == nil; {
		if time.Now().After(end) {
			t.Fatalf("daemon %d does not learn of the crashes", daemon)
		}
		time.Sleep(time.Millisecond)
	}
}

func crashRequest(id string) string { return get(id, crashingPath) }

// Guards against a quarantine that harms callers: a wrong answer to the request itself, or refusals of harmless requests.
func TestQuarantineSparesHarmlessRequests(t *testing.T) {
	t.Run("answer of a quarantined request", func(t *testing.T) {
		m := startCrashMesh(t, 3, crashesOnPath)
		m.assertStops(t, crashRequest)
		c := m.dial(t, 0)
		c.send(crashRequest("last"))
		a := c.assertAnswer(http.StatusServiceUnavailable, "")
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.New(t).NoErr(err)
		is.New(t).True(seconds > 60)
	})
	t.Run("request that ran beside it", func(t *testing.T) {
		m := startCrashMesh(t, 1, crashesOnPath)
		bystander := func(id string) string { return get(id, "/get/held") }
		held := m.startHeld(t, 0, bystander)
		m.assertStatus(t, 0, crashRequest, http.StatusBadGateway)
		is.New(t).Equal(held.read().status, http.StatusBadGateway)
		close(m.targets[0].release)
		for range 2 {
			m.restartTargets(t)
			m.assertStatus(t, 0, bystander, http.StatusOK)
			m.send(t, 0, crashRequest)
		}
		m.restartTargets(t)
		m.assertStatus(t, 0, bystander, http.StatusOK)
		m.assertStatus(t, 0, crashRequest, http.StatusServiceUnavailable)
		is.New(t).Equal(m.crashes(), 2)
	})
	t.Run("same request in flight at two crashes of other cause", func(t *testing.T) {
		m := startCrashMesh(t, 1, crashesOnPath)
		popular := func(id string) string { return get(id, "/get/held") }
		for range 2 {
			held := m.startHeld(t, 0, popular)
			m.targets[0].crash()
			is.New(t).Equal(held.read().status, http.StatusBadGateway)
			close(m.targets[0].release)
			m.restartTargets(t)
			for range 3 {
				m.assertStatus(t, 0, popular, http.StatusOK)
				<-m.targets[0].started
			}
			m.targets[0].holdAgain()
		}
		close(m.targets[0].release)
		m.assertStatus(t, 0, popular, http.StatusOK)
	})
	t.Run("target that breaks off each answer", func(t *testing.T) {
		m := &crashMesh{mesh: startMesh(t, startTarget(t, func(net.Conn, *http.Request, []byte) bool { return false }))}
		for range 5 {
			m.assertStatus(t, 0, crashRequest, http.StatusBadGateway)
		}
	})
	t.Run("other body, path or method", func(t *testing.T) {
		m := startCrashMesh(t, 3, func(_ *http.Request, body []byte) bool { return string(body) == "crash" })
		m.assertStops(t, func(id string) string { return post(id, "crash") })
		m.assertStatus(t, 0, func(id string) string { return post(id, "crash!") }, http.StatusOK)
		m.assertStatus(t, 0, func(id string) string { return get(id, "/post/x") }, http.StatusOK)
	})
}

// Guards against daemons that learn of a crashing request too late or never.
func TestQuarantineReachesAllDaemons(t *testing.T) {
	t.Run("daemon that starts later", func(t *testing.T) {
		m := startCrashMesh(t, 2, crashesOnPath)
		m.assertStops(t, crashRequest)
		added := startCrashableTarget(t, crashesOnPath)
		m.targets = append(m.targets, added)
		m.start(t, 2, added.fakeTarget)
		m.awaitQuarantine(t, 2)
	})
	t.Run("daemon that cannot be reached at first", func(t *testing.T) {
		m := startCrashMesh(t, 2, crashesOnPath)
		reserved, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := reserved.Addr().String()
		is.New(t).NoErr(reserved.Close())
		entry := basillift.NewEndpoint("i9", "gallery", "127.0.0.1:1", "a", 4, basillift.TargetReady).WithDaemon(address)
		m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t9", 9).WithEndpoint(entry))
		m.assertStops(t, crashRequest)
		cutOff := New(NewSettings("127.0.0.1:0", address, "127.0.0.1:0").WithTarget("127.0.0.1:1", "gallery", "a").WithHeaderNames(testHeaderNames), m.tables, blfleet.New(), nil, rand.New(rand.NewSource(9)))
		cutOff.SetRevisionGossip(fixedGossip{})
		m.run(t, cutOff)
		m.awaitQuarantine(t, len(m.forwarders)-1)
	})
	t.Run("daemon that missed the announcement", func(t *testing.T) {
		m := startCrashMesh(t, 2, crashesOnPath)
		f := m.forwarders[0]
		fingerprint := fingerprintOf(&request{method: http.MethodGet, host: "shop.example", uri: crashingPath})
		f.quarantine.merge(time.Now(), blquarantine.NewSuspicion(fingerprint(), 2, time.Now()))
		m.awaitQuarantine(t, 1)
	})
}

// Guards against two suspects at one target: its next crash would not tell which of them causes it.
func TestSuspectsRunOneAfterAnother(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQuarantine(func() []blquarantine.Fingerprint { return nil })
	first, second := newTargetRun(&request{uri: "/1"}, acceptedAs("")), newTargetRun(&request{uri: "/2"}, &acceptedRequest{})
	harmless := newTargetRun(&request{uri: "/3"}, acceptedAs(""))
	q.merge(now, blquarantine.NewSuspicion(first.fingerprint(), 1, now), blquarantine.NewSuspicion(second.fingerprint(), 1, now))
	is.True(q.enter(t.Context(), now, first, now, 0) == nil)
	is.True(q.enter(t.Context(), now, harmless, now, 0) == nil)
	refusal := q.enter(t.Context(), now, second, now.Add(hangGuard), 2*hangGuard)
	is.Equal(refusal.reason, basillift.ReasonOverload)
	is.Equal(refusal.retryAfter, 2*hangGuard)
	refusal = q.enter(t.Context(), now, second, now, 0)
	is.Equal(refusal.reason, basillift.ReasonOverload)
	entered := make(chan *answer)
	go func() { entered <- q.enter(t.Context(), now, second, now.Add(hangGuard), 0) }()
	q.leave(first)
	is.True(<-entered == nil)
	q.leave(second)
	is.True(q.enter(t.Context(), now, first, now, 0) == nil)
}

// Guards against suspicions that another daemon decodes to other values, and against malformed ones.
func TestSuspicionsRoundTrip(t *testing.T) {
	now := time.Now()
	sent := []blquarantine.Suspicion{blquarantine.NewSuspicion(7, 2, now.Add(-3*time.Second)), blquarantine.NewSuspicion(9, 0, now)}
	t.Run("message", func(t *testing.T) {
		body, err := formatSuspicions(now, sent)
		is.New(t).NoErr(err)
		got, err := parseSuspicions(now, body)
		is.New(t).NoErr(err)
		is.New(t).Equal(got, sent)
	})
	t.Run("header", func(t *testing.T) {
		got, ok := parseSuspicion(now, formatSuspicion(now, sent[0]), func() blquarantine.Fingerprint { return 7 })
		is.New(t).True(ok)
		is.New(t).Equal(got, sent[0])
	})
	for _, text := range []string{"", "2", "0 1", "-1 1", "2 -1", "2 x", "2 99999999999999999", "99999999999999999999 1"} {
		t.Run("malformed header "+text, func(t *testing.T) {
			_, ok := parseSuspicion(now, text, func() blquarantine.Fingerprint { return 7 })
			is.New(t).True(!ok)
		})
	}
	for _, body := range []string{"x", `{"suspicions":[{"fingerprint":"z"}]}`, `{"suspicions":[{"fingerprint":"1","crashes":-1}]}`, `{"suspicions":[{"fingerprint":"1","age":9223372036854775807}]}`} {
		t.Run("malformed message "+body, func(t *testing.T) {
			_, err := parseSuspicions(now, []byte(body))
			is.New(t).True(err != nil)
		})
	}
}
