package blproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"basillift.dev/basillift"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp starts this goroutine once for the Date header and never ends it.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// fasthttp's cleaner of idle workers ends itself up to 10 s after its server stopped.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// configuration is a fake with one plan, "basic", for all customers.
type configuration struct {
	version   basillift.Version
	customers []string
	plan      basillift.Plan
	services  []string
}

func (c configuration) Version() basillift.Version { return c.version }
func (c configuration) Digest() uint64             { return 1 }
func (c configuration) HasService(s string) bool   { return slices.Contains(c.services, s) }
func (c configuration) Services() []string         { return c.services }
func (c configuration) CustomerCount() int         { return len(c.customers) }
func (c configuration) Plan(customer string) (basillift.Plan, bool) {
	return c.plan, slices.Contains(c.customers, customer)
}

func (c configuration) Current() (basillift.Configuration, bool) { return c, !c.version.IsZero() }

// mesh is a fake of the directory, the peers, the target and the recorder of one daemon.
type mesh struct {
	mutex    sync.Mutex
	self     basillift.Member
	targets  []basillift.Status
	events   []basillift.Event
	observed []basillift.Version
	calls    func(to basillift.VMID, method string, params, result any) error
	notify   func(to basillift.VMID, method string, params any)
}

func (m *mesh) locked(f func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	f()
}

func (m *mesh) Self() (self basillift.Member) {
	m.locked(func() { self = m.self })
	return self
}

func (m *mesh) Targets(service string) (found []basillift.Status) {
	m.locked(func() {
		for _, s := range m.targets {
			if s.Member().Service() == service {
				found = append(found, s)
			}
		}
	})
	return found
}

func (m *mesh) Members() (found []basillift.Status) {
	m.locked(func() { found = slices.Clone(m.targets) })
	return found
}
func (m *mesh) Generation() uint64               { return 1 }
func (m *mesh) State() basillift.TargetState     { return m.Self().State() }
func (m *mesh) SetState(s basillift.TargetState) { m.locked(func() { m.self = m.self.WithState(s) }) }

func (m *mesh) Record(e basillift.Event) { m.locked(func() { m.events = append(m.events, e) }) }

func (m *mesh) ObserveVersion(v basillift.Version, _ basillift.VMID) {
	m.locked(func() { m.observed = append(m.observed, v) })
}

func (m *mesh) Call(_ context.Context, to basillift.VMID, method string, params, result any) error {
	if m.calls == nil {
		return basillift.ErrUnavailable
	}
	return m.calls(to, method, params, result)
}

func (m *mesh) Notify(to basillift.VMID, method string, params any) {
	if m.notify != nil {
		m.notify(to, method, params)
	}
}

// connectDaemons connects daemons so that they exchange control messages, encoded as on the wire.
func connectDaemons(t testing.TB, daemons ...*daemon) {
	send := func(from, to basillift.VMID, method string, params, result any) error {
		for _, d := range daemons {
			if d.mesh.Self().ID() != to {
				continue
			}
			handlers := map[string]func(context.Context, basillift.VMID, json.RawMessage) (any, error){
				MethodClaim: d.HandleClaim, MethodSettle: d.HandleSettle, MethodRoster: d.HandleRoster,
				MethodSuspicion: d.HandleSuspicion, MethodQuota: d.HandleQuota,
			}
			raw, err := json.Marshal(params)
			requireNoError(t, err)
			answer, err := handlers[method](context.Background(), from, raw)
			if err != nil || result == nil {
				return err
			}
			raw, err = json.Marshal(answer)
			requireNoError(t, err)
			return json.Unmarshal(raw, result)
		}
		return basillift.ErrUnavailable
	}
	for _, d := range daemons {
		from := d.mesh.Self().ID()
		d.mesh.calls = func(to basillift.VMID, method string, params, result any) error {
			return send(from, to, method, params, result)
		}
		d.mesh.notify = func(to basillift.VMID, method string, params any) { _ = send(from, to, method, params, nil) }
	}
}

// daemon is a proxy under test with its fakes.
type daemon struct {
	*Proxy
	mesh *mesh
}

func basicConfiguration() configuration {
	return configuration{
		version: basillift.NewVersion(1, 7), customers: []string{"kobuleti"},
		services: []string{"catalogue", "reservations"},
		plan:     basillift.NewPlan("basic", []string{"catalogue"}, 0, 0, basillift.ClassNormal),
	}
}

// startDaemon starts a proxy in front of the target address.
func startDaemon(t testing.TB, id basillift.VMID, target string, change func(Settings) Settings) *daemon {
	t.Helper()
	s := NewSettings("127.0.0.1:0", "127.0.0.1:0", target).WithRecording(RecordAll)
	if change != nil {
		s = change(s)
	}
	place := basillift.NewPlace("tbilisi-a", "georgia")
	m := &mesh{self: basillift.NewMember(id, 1, basillift.Addresses{}, place, "catalogue", 10)}
	p, err := New(s, basicConfiguration(), m, m, m, m, m)
	requireNoError(t, err)
	requireNoError(t, p.Listen())
	addresses := basillift.NewAddresses("", p.MeshAddress(), "")
	m.self = basillift.NewMember(id, 1, addresses, place, "catalogue", 10).WithState(basillift.TargetReady)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		requireNoError(t, <-done)
	})
	return &daemon{Proxy: p, mesh: m}
}

// addTargets adds the targets of other daemons to this daemon's directory.
func (d *daemon) addTargets(others ...*daemon) {
	for _, o := range others {
		status := basillift.NewStatus(o.mesh.Self(), basillift.LivenessAlive, false)
		d.mesh.locked(func() { d.mesh.targets = append(d.mesh.targets, status) })
	}
}

// startPair starts the daemon of a caller and the daemon of a target.
func startPair(t testing.TB, target string, change func(Settings) Settings) (caller, called *daemon) {
	t.Helper()
	called = startDaemon(t, "vm-b", target, change)
	caller = startDaemon(t, "vm-a", "127.0.0.1:1", change)
	caller.addTargets(called)
	return caller, called
}

// startTarget serves a well-behaved target.
func startTarget(t testing.TB, handle fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	s := &fasthttp.Server{Handler: handle, StreamRequestBody: true, Logger: discardLogger{}}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		requireNoError(t, s.Shutdown())
		requireNoError(t, <-done)
	})
	return l.Addr().String()
}

// startRaw serves a target that handles raw connections, for protocol violations.
func startRaw(t testing.TB, handle func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		requireNoError(t, l.Close())
		group.Wait()
	})
	return l.Addr().String()
}

// ask sends one request to the daemon's caller side and expects a response.
func (d *daemon) ask(t testing.TB, method, path, text string, headers ...string) *fasthttp.Response {
	t.Helper()
	response, err := d.try(t, method, path, text, headers...)
	requireNoError(t, err)
	return response
}

// try sends one request to the daemon's caller side on a connection of its own.
func (d *daemon) try(t testing.TB, method, path, text string, headers ...string) (*fasthttp.Response, error) {
	t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(d.CallerAddress())
	request.Header.SetMethod(method)
	request.Header.Set(HeaderCustomer, "kobuleti")
	request.SetBodyString(text)
	for _, h := range headers {
		name, value, found := strings.Cut(h, ": ")
		if found {
			request.Header.Set(name, value)
		}
	}
	c, err := net.Dial("tcp", d.CallerAddress())
	requireNoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = request.WriteTo(c)
	requireNoError(t, err)
	response := &fasthttp.Response{SkipBody: method == fasthttp.MethodHead}
	return response, response.Read(bufio.NewReader(c))
}

// eventually waits until the condition holds; the test run's own timeout bounds it.
func eventually(t testing.TB, holds func() bool) {
	t.Helper()
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

func assertAnswer(t *testing.T, r *fasthttp.Response, status int, text string) {
	t.Helper()
	i := is.New(t)
	i.Equal(r.StatusCode(), status)
	i.Equal(string(r.Body()), text)
	i.Equal(string(r.Header.Peek(HeaderOutcome)), "")
}

func assertRefused(t *testing.T, r *fasthttp.Response, status int, o basillift.Outcome, reason basillift.Reason) {
	t.Helper()
	i := is.New(t)
	i.Equal(r.StatusCode(), status)
	i.Equal(string(r.Header.Peek(HeaderOutcome)), string(o))
	i.Equal(string(r.Header.Peek(HeaderReason)), string(reason))
}
