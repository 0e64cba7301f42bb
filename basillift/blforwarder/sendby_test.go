package blforwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/bltable"
)

// slowAnswers forwards connections to an address and delays what comes back. It returns its own address.
func slowAnswers(t *testing.T, address string, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	forward := func(to, from net.Conn, delay time.Duration) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			time.Sleep(delay)
			if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forward(out, in, 0)
			go forward(in, out, delay)
		}
	}()
	return l.Addr().String()
}

// adoptWithoutObjectives puts a table in force whose routes have no latency objective, so that their requests wait until the
// deadline.
func adoptWithoutObjectives(t *testing.T, m *mesh, version uint64, postTimeout time.Duration) {
	t.Helper()
	share := basillift.NewWeightedService("catalogue", 1)
	_, err := m.tables.Adopt(basillift.NewRoutingSpec(version, []basillift.Route{
		basillift.NewRoute("get", "shop.example", "/get/", basillift.KindIdempotent, share).WithTimes(hangGuard, 0).WithAttempts(2),
		basillift.NewRoute("post", "shop.example", "/post/", basillift.KindNonIdempotent, share).WithTimes(postTimeout, 0).WithAttempts(2),
	}, []basillift.ServiceLimits{basillift.NewServiceLimits("catalogue", "/", 100)}, basillift.NewClientLimits(8<<10, 4<<20, time.Second, 5*time.Second)))
	is.New(t).NoErr(err)
}

// Guards against 504 for a request that waited for a slot of a target until its deadline, behind another daemon or not: nothing was sent
// to the target, so a caller may repeat it, whatever its method.
func TestWaitingRequestIsNotRunAtItsDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/get/held" {
			<-release
		}
		return answerOK(w, r, body)
	})
	// The margin is wide, so that a busy machine does not use it up, and the link slower than answerMargin.
	m := &mesh{fleet: blfleet.New(), tables: bltable.NewHolder(), adjust: func(s *Settings) { s.maxRefusalMargin = time.Second }}
	m.start(t, 0, startTarget(t, answerOK))
	m.start(t, 1, f)
	m.fleet.Apply(time.Now(), removalOf("t0", 10))
	m.daemonAddresses[1] = slowAnswers(t, m.daemonAddresses[1], 30*time.Millisecond)
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t1", 11).WithEndpoint(m.endpointOf(1, f)))
	for _, fw := range m.forwarders {
		fw.TargetsChanged(time.Now())
	}
	adoptWithoutObjectives(t, m, 1, hangGuard)
	warm := m.dial(t, 0)
	for i := range 20 {
		warm.send(withoutTimeLimit(post(fmt.Sprintf("p%d", i), "")))
		warm.assertAnswer(http.StatusOK, "")
	}
	adoptWithoutObjectives(t, m, 2, 5*time.Second)
	ad := m.forwarders[1].admission
	for i := range ad.load().Slots() {
		m.dial(t, 0).send(withoutTimeLimit(get(fmt.Sprintf("h%d", i), "/get/held")))
	}
	waitUntil(t, func() bool { return ad.load().Running() == ad.load().Slots() })
	// Caller 0 is at another daemon, caller 1 at that of the target.
	callers := []*caller{m.dial(t, 0), m.dial(t, 1)}
	for i, c := range callers {
		c.send(withoutTimeLimit(post(fmt.Sprint(i), "")))
	}
	for i, c := range callers {
		a := c.assertAnswer(http.StatusServiceUnavailable, "")
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(f.count(fmt.Sprint(i)), 0)
	}
}

// silentAddress is an address that accepts no further connection and refuses none, as on a machine that hangs.
func silentAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	is.NoErr(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(socket, 0))
	name, err := syscall.Getsockname(socket)
	is.NoErr(err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against a connection to a silent target that is tried until the deadline, so that the answer that nothing was sent comes
// too late.
func TestConnectingEndsBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	pool := blpool.NewSet(func(string) blpool.Limits { return blpool.NewLimits(10, time.Second, hangGuard) }).Of(silentAddress(t))
	now := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	e := &exchange{pool: pool, request: &request{method: http.MethodGet}, deadline: now.Add(hangGuard), connectBy: now.Add(50 * time.Millisecond)}
	_, err := e.run(ctx, now)
	is.True(isTimeout(err))
	is.True(e.unsent)
	is.True(time.Now().Before(e.deadline))
}
