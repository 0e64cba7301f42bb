package blfault

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blproxy"
)

// fakeMesh is the view of the mesh that one real proxy gets.
type fakeMesh struct {
	self    basillift.Member
	targets []basillift.Status
}

func (f *fakeMesh) Self() basillift.Member                           { return f.self }
func (f *fakeMesh) Targets(string) []basillift.Status                { return f.targets }
func (f *fakeMesh) Members() []basillift.Status                      { return f.targets }
func (f *fakeMesh) Generation() uint64                               { return 1 }
func (f *fakeMesh) State() basillift.TargetState                     { return basillift.TargetReady }
func (f *fakeMesh) SetState(basillift.TargetState)                   {}
func (f *fakeMesh) Record(basillift.Event)                           {}
func (f *fakeMesh) ObserveVersion(basillift.Version, basillift.VMID) {}
func (f *fakeMesh) Notify(basillift.VMID, string, any)               {}
func (f *fakeMesh) Call(context.Context, basillift.VMID, string, any, any) error {
	return basillift.ErrUnavailable
}

// startProxy runs a blproxy.Proxy in front of a target and returns it with its status as a
// peer.
func startProxy(t *testing.T, id basillift.VMID, target string, store *blconfig.Store, peers ...basillift.Status) (*blproxy.Proxy, basillift.Status) {
	t.Helper()
	is := is.New(t)
	place := basillift.NewPlace("a", "r")
	f := &fakeMesh{targets: peers, self: basillift.NewMember(id, 1, basillift.Addresses{}, place, "catalogue", 10)}
	p, err := blproxy.New(blproxy.NewSettings("127.0.0.1:0", "127.0.0.1:0", target), store, f, f, f, f, f)
	is.NoErr(err)
	is.NoErr(p.Listen())
	f.self = basillift.NewMember(id, 1, basillift.NewAddresses("", p.MeshAddress(), ""), place, "catalogue", 10).
		WithState(basillift.TargetReady)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return p, basillift.NewStatus(f.self, basillift.LivenessAlive, false)
}

// serveRaw starts a TCP target that handles each connection with the given function, and
// returns its address.
func serveRaw(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				handle(c, bufio.NewReader(c))
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		group.Wait()
	})
	return l.Addr().String()
}

func newStore(t *testing.T, revision uint64, services ...string) *blconfig.Store {
	t.Helper()
	store := blconfig.NewStore()
	putInForce(t, store, revision, services...)
	return store
}

// putInForce puts a version in force that lets the customer use the given services.
func putInForce(t *testing.T, store *blconfig.Store, revision uint64, services ...string) {
	t.Helper()
	plan := basillift.NewPlan("basic", services, 0, 0, basillift.ClassNormal)
	lists := bllist.NewLists(1, []string{"catalogue", "gallery"}, []basillift.Plan{plan}, []bllist.Customer{bllist.NewCustomer("kobuleti", "basic")})
	s, err := blconfig.Build(basillift.NewVersion(1, revision), lists)
	is.New(t).NoErr(err)
	is.New(t).True(store.Set(s))
}

func sendCall(t *testing.T, p *blproxy.Proxy, method, timeout string) (status int, body string, outcome basillift.Outcome) {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + p.CallerAddress() + "/catalogue/1")
	request.Header.SetMethod(method)
	request.Header.Set(blproxy.HeaderCustomer, "kobuleti")
	request.Header.Set(blproxy.HeaderTimeout, timeout)
	client := fasthttp.Client{}
	defer client.CloseIdleConnections()
	is.New(t).NoErr(client.Do(request, response))
	return response.StatusCode(), string(response.Body()), basillift.Outcome(response.Header.Peek(blproxy.HeaderOutcome))
}

func readRequest(r *bufio.Reader) bool {
	var request fasthttp.Request
	return request.Read(r) == nil
}

const (
	lateAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	nextAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
)

// Guards against reusing a connection on which an answer is outstanding: the next request
// would get the answer to the one before.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	release := make(chan struct{})
	target := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			if runs.Add(1) > 1 {
				_, _ = io.WriteString(c, nextAnswer)
				continue
			}
			<-release
			_, _ = io.WriteString(c, lateAnswer)
		}
	})
	store := newStore(t, 1, "catalogue")
	_, status := startProxy(t, "vm-b", target, store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, status)
	code, _, outcome := sendCall(t, caller, "POST", "50")
	is.Equal(code, fasthttp.StatusGatewayTimeout)
	is.Equal(outcome, basillift.OutcomeUnknown)
	// The target answers the first request while the second one is in flight.
	go func() {
		time.Sleep(100 * time.Millisecond)
		close(release)
	}()
	_, body, _ := sendCall(t, caller, "POST", "5000")
	is.Equal(body, "next")
}

// Guards against the outcome "not run" for a request whose first attempt may have run.
func TestUnknownThenNotRun(t *testing.T) {
	var runs atomic.Int32
	target := serveRaw(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			runs.Add(1)
		}
	})
	store := newStore(t, 1, "catalogue")
	_, breaking := startProxy(t, "vm-b", target, store)
	_, refusing := startProxy(t, "vm-c", "127.0.0.1:1", store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, breaking, refusing)
	wrong := 0
	for range 30 {
		before := runs.Load()
		if _, _, outcome := sendCall(t, caller, "GET", "5000"); outcome == basillift.OutcomeNotRun && runs.Load() > before {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("promise 5: %d of 30 calls ran and were refused as not run", wrong)
	}
}

// Guards against deciding a call by a plan that is no longer in force.
func TestPlanInForce(t *testing.T) {
	is := is.New(t)
	target := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, nextAnswer)
		}
	})
	store := newStore(t, 1, "catalogue")
	_, status := startProxy(t, "vm-b", target, store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, status)
	code, _, _ := sendCall(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusOK)
	putInForce(t, store, 2, "gallery")
	code, _, outcome := sendCall(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusForbidden)
	is.Equal(outcome, basillift.OutcomeNotRun)
	putInForce(t, store, 3, "catalogue")
	code, _, _ = sendCall(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusOK)
}
