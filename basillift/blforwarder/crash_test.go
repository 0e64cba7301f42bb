package blforwarder

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
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
	c := &crashableTarget{conns: map[net.Conn]struct{}{}, started: make(chan string, 1000), release: make(chan struct{})}
	c.fakeTarget = startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		c.started <- r.URL.Path
		if crashes(r, body) {
			c.crash()
			return false
		}
		if strings.HasPrefix(r.URL.Path, "/get/held") {
			<-c.release
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
