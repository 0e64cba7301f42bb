package blforwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bltable"
)

// hangGuard ends a test that would otherwise hang. As the deadline of a request it only has to be so far away that it
// does not cause a refusal.
const hangGuard = 30 * time.Second

var testHeaderNames = basillift.NewHeaderNames().
	WithRequest("X-Id", "X-Deadline", "X-Instance", "X-Caller").
	WithAnswer("X-Seal", "X-Not-Run").
	WithAdvisory("X-Limit", "X-Leaving").
	WithHealth("X-Cold", "X-Runs-As").
	WithReady("/ready")

// script answers one request of a fake target by writing bytes to its connection. It returns false to close the
// connection.
type script func(w net.Conn, r *http.Request, body []byte) bool

// fakeTarget is a target that records the raw requests and runs a script for each.
type fakeTarget struct {
	address  string
	listener net.Listener
	mutex    sync.Mutex
	script   script
	headers  []string
	bodies   []string
	runs     map[string]int
	// onConnection is called for each accepted connection; nil for no function.
	onConnection func(net.Conn)
}

func startTarget(t *testing.T, s script) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f := &fakeTarget{address: l.Addr().String(), script: s, runs: map[string]int{}}
	f.listen(l)
	t.Cleanup(func() { _ = l.Close() })
	return f
}

// listen accepts connections from a listener until it is closed.
func (f *fakeTarget) listen(l net.Listener) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listener = l
	go f.loop(l)
}

func (f *fakeTarget) currentListener() net.Listener {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listener
}

// track sets the function that is called for each accepted connection.
func (f *fakeTarget) track(onConnection func(net.Conn)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onConnection = onConnection
}

func (f *fakeTarget) loop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.mutex.Lock()
		onConnection := f.onConnection
		f.mutex.Unlock()
		if onConnection != nil {
			onConnection(conn)
		}
		go f.serve(conn)
	}
}

// serve records the raw header of each request.
func (f *fakeTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		head, _, _ := bytes.Cut(raw.Bytes(), []byte("\r\n\r\n"))
		f.mutex.Lock()
		f.headers = append(f.headers, string(head))
		f.bodies = append(f.bodies, string(body))
		f.runs[r.Header.Get("X-Id")]++
		s := f.script
		f.mutex.Unlock()
		raw.Reset()
		if !s(conn, r, body) {
			return
		}
	}
}

func (f *fakeTarget) count(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[id]
}

func (f *fakeTarget) lastRequest(t *testing.T) (head, body string) {
	t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.headers) == 0 {
		t.Fatal("the target received no request")
	}
	return f.headers[len(f.headers)-1], f.bodies[len(f.bodies)-1]
}

// answerOK writes a complete answer with the request id and the seal, which proves that a target created the answer.
func answerOK(w net.Conn, r *http.Request, body []byte) bool {
	text := r.URL.Path + " " + string(body)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(text), text)
	return err == nil
}

// fixedGossip reports the same newest revision of the registry at all daemons.
type fixedGossip struct{}

func (fixedGossip) NewestRevision() basillift.Revision { return 1 }
func (fixedGossip) ObserveRevision(basillift.Revision) {}

// mesh is a set of forwarders in one process, each with a fake target of the service "catalogue".
type mesh struct {
	forwarders      []*Forwarder
	callerAddresses []string
	daemonAddresses []string
	// cancels end the run of each daemon.
	cancels []context.CancelFunc
	// ended are closed when the daemons have ended.
	ended  []<-chan struct{}
	fleet  *blfleet.Fleet
	tables *bltable.Holder
	// adjust changes the settings of each daemon before it starts; nil for no function.
	adjust func(*Settings)
}

func startMesh(t *testing.T, targets ...*fakeTarget) *mesh {
	t.Helper()
	m := startEmptyMesh(t, targets...)
	m.publish(t, 1, time.Second)
	return m
}

// startEmptyMesh starts daemons without a routing table.
func startEmptyMesh(t *testing.T, targets ...*fakeTarget) *mesh {
	t.Helper()
	m := &mesh{fleet: blfleet.New(), tables: bltable.NewHolder()}
	for i, f := range targets {
		m.start(t, i, f)
	}
	for _, f := range m.forwarders {
		f.TargetsChanged(time.Now())
	}
	return m
}

func (m *mesh) publish(t *testing.T, version uint64, timeout time.Duration) {
	t.Helper()
	share := basillift.NewWeightedService("catalogue", 1)
	route := func(name string, k basillift.RequestKind) basillift.Route {
		return basillift.NewRoute(name, "shop.example", "/"+name+"/", k, share).WithTimes(timeout, timeout/2).WithAttempts(2)
	}
	_, err := m.tables.Adopt(basillift.NewRoutingSpec(version,
		[]basillift.Route{route("get", basillift.KindIdempotent), route("post", basillift.KindNonIdempotent)},
		[]basillift.ServiceLimits{basillift.NewServiceLimits("catalogue", "/", 100)},
		basillift.NewClientLimits(8<<10, 4<<20, time.Second, 5*time.Second)))
	is.New(t).NoErr(err)
}

func (m *mesh) start(t *testing.T, i int, f *fakeTarget) {
	t.Helper()
	const free = "127.0.0.1:0"
	s := NewSettings(free, free, free).WithTarget(f.address, "catalogue", "a").WithHeaderNames(testHeaderNames).WithRetryAllowance(1, 100)
	if m.adjust != nil {
		m.adjust(&s)
	}
	fw := New(s, m.tables, m.fleet, nil, rand.New(rand.NewSource(int64(i)+1)))
	fw.SetRevisionGossip(fixedGossip{})
	fw.SetFeedServer(fakeFeed{})
	m.run(t, fw)
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry(fmt.Sprintf("t%d", i), basillift.Revision(i)+1).WithEndpoint(m.endpointOf(i, f)))
}

// run starts a daemon and stops it at the end of the test.
func (m *mesh) run(t *testing.T, fw *Forwarder) {
	t.Helper()
	is.New(t).NoErr(fw.Listen())
	m.forwarders, m.cancels, m.ended = append(m.forwarders, nil), append(m.cancels, nil), append(m.ended, nil)
	m.serve(t, len(m.forwarders)-1, fw)
	m.callerAddresses = append(m.callerAddresses, fw.callerServer.listener.Addr().String())
	m.daemonAddresses = append(m.daemonAddresses, fw.meshServer.listener.Addr().String())
}

// serve runs a daemon that listens, as the one with the given number, and stops it at the end of the test.
func (m *mesh) serve(t *testing.T, daemon int, fw *Forwarder) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := fw.Run(ctx); err != nil {
			t.Errorf("daemon %d: %v", daemon, err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	m.forwarders[daemon], m.cancels[daemon], m.ended[daemon] = fw, cancel, ended
}

// endpointOf returns the entry of a target with the given number.
func (m *mesh) endpointOf(i int, f *fakeTarget) basillift.Endpoint {
	return basillift.NewEndpoint(fmt.Sprintf("i%d", i), "catalogue", f.address, "a", 4, basillift.TargetReady).
		WithDaemon(m.daemonAddresses[i])
}

// caller is one connection of a caller.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (m *mesh) dial(t *testing.T, daemon int) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", m.callerAddresses[daemon])
	is.New(t).NoErr(err)
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(hangGuard)))
	t.Cleanup(func() { _ = conn.Close() })
	return newCaller(t, conn)
}

func newCaller(t *testing.T, conn net.Conn) *caller {
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	is.New(c.t).NoErr(err)
}

func get(id, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id + "\r\nX-Deadline: 900\r\n\r\n"
}

func post(id, body string) string {
	return fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\nX-Deadline: 900\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// withoutTimeLimit returns a request with a deadline that it does not reach. Without it, a large body takes too long on an
// overloaded machine.
func withoutTimeLimit(request string) string {
	return strings.Replace(request, "X-Deadline: 900\r\n", fmt.Sprintf("X-Deadline: %d\r\n", hangGuard.Milliseconds()), 1)
}

// callerAnswer is an answer as received by the caller.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	err    error
	close  bool
}

func (c *caller) read() callerAnswer {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerAnswer{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return callerAnswer{status: r.StatusCode, header: r.Header, body: string(body), err: err, close: r.Close}
}

func (c *caller) assertAnswer(status int, body string) callerAnswer {
	c.t.Helper()
	a := c.read()
	if a.err != nil || a.status != status || body != "" && a.body != body {
		c.t.Fatalf("answer %d %q (%v), want %d %q", a.status, a.body, a.err, status, body)
	}
	return a
}

func removalOf(key string, revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision)
}

// acceptedAs returns a request at the target's daemon whose deadline alone matters.
func acceptedAs(id string) *acceptedRequest { return &acceptedRequest{id: id} }
