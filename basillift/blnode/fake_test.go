package blnode

import (
	"context"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"basillift.dev/basillift"
)

// fakePlatform is an in-memory store. While down, it refuses reads. While staleValues is set,
// it serves these instead of the current values.
type fakePlatform struct {
	mutex       sync.Mutex
	values      map[string]basillift.Value
	store       uint64
	staleValues map[string]basillift.Value
	staleStore  uint64
	down        bool
	reads       int
	changed     chan struct{}
}

func newFakePlatform() *fakePlatform {
	p := &fakePlatform{values: map[string]basillift.Value{}, changed: make(chan struct{})}
	p.write(basillift.KeyPlans, `{"epoch":1,"services":["catalogue"],"plans":[{"name":"basic","services":["catalogue"]}]}`)
	p.writeCustomers(100, 0)
	p.write(basillift.KeyVMs, `[]`)
	return p
}

func (p *fakePlatform) write(key, data string) basillift.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.store++
	p.values[key] = basillift.NewValue(key, []byte(data), p.store, p.store)
	close(p.changed)
	p.changed = make(chan struct{})
	return basillift.NewVersion(1, p.store)
}

// writeCustomers publishes a list of count customers, and one named after the round, so that
// each round has different content.
func (p *fakePlatform) writeCustomers(count, round int) basillift.Version {
	var b strings.Builder
	b.WriteString(`{"epoch":1,"customers":[`)
	for i := range count {
		fmt.Fprintf(&b, `{"name":"customer-%d","plan":"basic"},`, i)
	}
	fmt.Fprintf(&b, `{"name":"round-%d","plan":"basic"}]}`, round)
	return p.write(basillift.KeyCustomers, b.String())
}

func (p *fakePlatform) update(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// snapshot copies the current values and returns a function that makes the platform serve
// them as a stale replica does.
func (p *fakePlatform) snapshot() func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	values, store := maps.Clone(p.values), p.store
	return func() { p.update(func() { p.staleValues, p.staleStore = values, store }) }
}

func (p *fakePlatform) readCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

func (p *fakePlatform) Read(_ context.Context, key string) (basillift.Value, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	return p.read(key)
}

func (p *fakePlatform) read(key string) (basillift.Value, error) {
	values, store := p.values, p.store
	if p.staleValues != nil {
		values, store = p.staleValues, p.staleStore
	}
	v, found := values[key]
	if p.down {
		return basillift.Value{}, basillift.ErrUnavailable
	}
	if !found {
		return basillift.NewValue(key, nil, 0, store), basillift.ErrNotFound
	}
	return basillift.NewValue(key, v.Data(), v.ModRevision(), store), nil
}

func (p *fakePlatform) Watch(ctx context.Context, key string, mod uint64) (basillift.Value, error) {
	for first := true; ; first = false {
		p.mutex.Lock()
		if first {
			p.reads++
		}
		v, err := p.read(key)
		changed := p.changed
		p.mutex.Unlock()
		if err != nil || v.ModRevision() != mod {
			return v, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return basillift.Value{}, ctx.Err()
		}
	}
}

// fakeRecorder stores events and counts rollbacks: versions put in force that are older than
// the one before.
type fakeRecorder struct {
	mutex     sync.Mutex
	events    []basillift.Event
	applied   basillift.Version
	rollbacks int
	notify    func(e basillift.Event)
}

func (r *fakeRecorder) Record(e basillift.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, e)
	if r.notify != nil {
		r.notify(e)
	}
	if e.Kind() != basillift.EventVersionApplied {
		return
	}
	if r.applied.NewerThan(e.Version()) {
		r.rollbacks++
	}
	r.applied = e.Version()
}

func (r *fakeRecorder) count(k basillift.EventKind) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, e := range r.events {
		if e.Kind() == k {
			n++
		}
	}
	return n
}

// daemon is one member of a test mesh.
type daemon struct {
	node     *Node
	recorder *fakeRecorder
	address  string
	cancel   context.CancelFunc
	done     chan struct{}
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

type mesh struct {
	t        testing.TB
	platform basillift.Platform
	daemons  map[string]*daemon
	seeds    []string
	notify   func(e basillift.Event)
}

func newMesh(t testing.TB, p basillift.Platform) *mesh {
	m := &mesh{t: t, platform: p, daemons: map[string]*daemon{}}
	t.Cleanup(m.stop)
	return m
}

func (m *mesh) stop() {
	var tasks sync.WaitGroup
	for _, d := range m.daemons {
		tasks.Go(d.stop)
	}
	tasks.Wait()
}

// add starts a daemon; its name is the failure domain, a hyphen and a number. The first two
// daemons are the seeds of all later ones.
func (m *mesh) add(name string) *daemon {
	m.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	domain, _, _ := strings.Cut(name, "-")
	address := l.Addr().String()
	self := basillift.NewMember(basillift.VMID(name), uint64(time.Now().UnixMilli()),
		basillift.NewAddresses(address, "127.0.0.1:1", "127.0.0.1:2"),
		basillift.NewPlace(basillift.FailureDomain(domain), "region"), "catalogue", 10)
	r := &fakeRecorder{notify: m.notify}
	n, err := New(self, m.seeds, m.platform, r, WithListener(l), WithSeed(int64(len(m.daemons)+1)))
	if err != nil {
		m.t.Fatal(err)
	}
	if len(m.seeds) < 2 {
		m.seeds = append(m.seeds, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{node: n, recorder: r, address: address, cancel: cancel, done: make(chan struct{})}
	m.daemons[name] = d
	n.SetState(basillift.TargetReady)
	go func() {
		defer close(d.done)
		if err := n.Run(ctx); err != nil {
			m.t.Error(err)
		}
	}()
	return d
}

func (m *mesh) remove(name string) {
	m.daemons[name].stop()
	delete(m.daemons, name)
}

// waitUntil waits until the condition is true for every daemon in turn. The timeout of one
// minute only ends a test that hangs.
func (m *mesh) waitUntil(description string, condition func(name string, n *Node) bool) {
	m.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for name, d := range m.daemons {
		for !condition(name, d.node) {
			if time.Now().After(deadline) {
				m.t.Fatalf("%s: timeout while waiting for %s; status %+v", name, description, d.node.Status())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func (m *mesh) waitForVersion(v basillift.Version) {
	m.t.Helper()
	m.waitUntil("version "+v.String(), func(_ string, n *Node) bool { return currentVersion(n) == v })
}

func currentVersion(n *Node) basillift.Version {
	if c, ok := n.Current(); ok {
		return c.Version()
	}
	return basillift.Version{}
}

func (m *mesh) waitForMembers(count int) {
	m.t.Helper()
	m.waitUntil(fmt.Sprintf("%d members alive", count), func(_ string, n *Node) bool { return n.View().Order().Len() == count })
}

func (m *mesh) requireNoRollback() {
	m.t.Helper()
	for name, d := range m.daemons {
		d.recorder.mutex.Lock()
		if d.recorder.rollbacks > 0 {
			m.t.Errorf("%s put an older version in force after a newer one", name)
		}
		d.recorder.mutex.Unlock()
	}
}
