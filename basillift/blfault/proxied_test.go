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

// fake is what one real proxy knows of the mesh.
type fake struct {
	self    basillift.Member
	targets []basillift.Status
}

func (f *fake) Self() basillift.Member                           { return f.self }
func (f *fake) Targets(string) []basillift.Status                { return f.targets }
func (f *fake) Members() []basillift.Status                      { return f.targets }
func (f *fake) Generation() uint64                               { return 1 }
func (f *fake) State() basillift.TargetState                     { return basillift.TargetReady }
func (f *fake) SetState(basillift.TargetState)                   {}
func (f *fake) Record(basillift.Event)                           {}
func (f *fake) ObserveVersion(basillift.Version, basillift.VMID) {}
func (f *fake) Notify(basillift.VMID, string, any)               {}
func (f *fake) Call(context.Context, basillift.VMID, string, any, any) error {
	return basillift.ErrUnavailable
}

// startProxy runs a real proxy in front of a target.
func startProxy(t *testing.T, id basillift.VMID, target string, store *blconfig.Store, peers ...basillift.Status) (*blproxy.Proxy, basillift.Status) {
	t.Helper()
	is := is.New(t)
	place := basillift.NewPlace("a", "r")
	f := &fake{targets: peers, self: basillift.NewMember(id, 1, basillift.Addresses{}, place, "catalogue", 10)}
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

// startRaw serves each connection to a target by the given function.
func startRaw(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) string {
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

func publishedStore(t *testing.T, revision uint64, services ...string) *blconfig.Store {
	t.Helper()
	store := blconfig.NewStore()
	enforce(t, store, revision, services...)
	return store
}

// enforce puts a version in force in which the customer may use the given services.
func enforce(t *testing.T, store *blconfig.Store, revision uint64, services ...string) {
	t.Helper()
	plan := basillift.NewPlan("basic", services, 0, 0, basillift.ClassNormal)
	lists := bllist.NewLists(1, []string{"catalogue", "gallery"}, []basillift.Plan{plan}, []bllist.Customer{bllist.NewCustomer("kobuleti", "basic")})
	s, err := blconfig.Build(basillift.NewVersion(1, revision), lists)
	is.New(t).NoErr(err)
	is.New(t).True(store.Set(s))
}

func ask(t *testing.T, p *blproxy.Proxy, method, timeout string) (status int, body string, outcome basillift.Outcome) {
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

// Guards against a connection that owes an answer and is used for the next request, which
// would get the answer of the one before.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	release := make(chan struct{})
	target := startRaw(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			if runs.Add(1) > 1 {
				_, _ = io.WriteString(c, nextAnswer)
				continue
			}
			<-release
			_, _ = io.WriteString(c, lateAnswer)
		}
	})
	store := publishedStore(t, 1, "catalogue")
	_, status := startProxy(t, "vm-b", target, store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, status)
	code, _, outcome := ask(t, caller, "POST", "50")
	is.Equal(code, fasthttp.StatusGatewayTimeout)
	is.Equal(outcome, basillift.OutcomeUnknown)
	// The target answers the first request while the second one is on its way.
	go func() {
		time.Sleep(100 * time.Millisecond)
		close(release)
	}()
	_, body, _ := ask(t, caller, "POST", "5000")
	is.Equal(body, "next")
}

// Guards against "not run" for a request whose first attempt may have run.
func TestUnknownThenNotRun(t *testing.T) {
	var runs atomic.Int32
	resets := startRaw(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			runs.Add(1)
		}
	})
	store := publishedStore(t, 1, "catalogue")
	_, breaking := startProxy(t, "vm-b", resets, store)
	_, refusing := startProxy(t, "vm-c", "127.0.0.1:1", store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, breaking, refusing)
	wrong := 0
	for range 30 {
		before := runs.Load()
		if _, _, outcome := ask(t, caller, "GET", "5000"); outcome == basillift.OutcomeNotRun && runs.Load() > before {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("promise 5: %d of 30 calls ran and were refused as not run", wrong)
	}
}

// Guards against a call that is decided by a plan that is not in force any more.
func TestPlanInForce(t *testing.T) {
	is := is.New(t)
	target := startRaw(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, nextAnswer)
		}
	})
	store := publishedStore(t, 1, "catalogue")
	_, status := startProxy(t, "vm-b", target, store)
	caller, _ := startProxy(t, "vm-a", "127.0.0.1:1", store, status)
	code, _, _ := ask(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusOK)
	enforce(t, store, 2, "gallery")
	code, _, outcome := ask(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusForbidden)
	is.Equal(outcome, basillift.OutcomeNotRun)
	enforce(t, store, 3, "catalogue")
	code, _, _ = ask(t, caller, "GET", "5000")
	is.Equal(code, fasthttp.StatusOK)
}
