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

// fakePlatform is a store in memory. While down it refuses reads; while stale it answers
// from the moment at which it became so.
type fakePlatform struct {
	mutex   sync.Mutex
	values  map[string]basillift.Value
	store   uint64
	frozen  map[string]basillift.Value
	at      uint64
	down    bool
	reads   int
	changed chan struct{}
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

// writeCustomers publishes a list in which one customer is named after the round.
func (p *fakePlatform) writeCustomers(count, round int) basillift.Version {
	var b strings.Builder
	b.WriteString(`{"epoch":1,"customers":[`)
	for i := range count {
		fmt.Fprintf(&b, `{"name":"customer-%d","plan":"basic"},`, i)
	}
	fmt.Fprintf(&b, `{"name":"round-%d","plan":"basic"}]}`, round)
	return p.write(basillift.KeyCustomers, b.String())
}

func (p *fakePlatform) set(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// save returns what the platform holds now, for a later stale answer.
func (p *fakePlatform) save() func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	values, store := maps.Clone(p.values), p.store
	return func() { p.set(func() { p.frozen, p.at = values, store }) }
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
	if p.frozen != nil {
		values, store = p.frozen, p.at
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

// fakeRecorder keeps events and checks that versions in force never go back.
type fakeRecorder struct {
	mutex   sync.Mutex
	events  []basillift.Event
	applied basillift.Version
	back    int
	notify  func(e basillift.Event)
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
		r.back++
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

// host is one daemon of a test mesh.
type host struct {
	node     *Node
	recorder *fakeRecorder
	address  string
	cancel   context.CancelFunc
	done     chan struct{}
}

func (h *host) stop() {
	h.cancel()
	<-h.done
}

type mesh struct {
	t        testing.TB
	platform basillift.Platform
	hosts    map[string]*host
	seeds    []string
	notify   func(e basillift.Event)
}

func newMesh(t testing.TB, p basillift.Platform) *mesh {
	m := &mesh{t: t, platform: p, hosts: map[string]*host{}}
	t.Cleanup(m.stop)
	return m
}

func (m *mesh) stop() {
	var tasks sync.WaitGroup
	for _, h := range m.hosts {
		tasks.Go(h.stop)
	}
	tasks.Wait()
}

// add starts a daemon named domain-number. The first two daemons are the seeds of all.
func (m *mesh) add(name string) *host {
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
	n, err := New(self, m.seeds, m.platform, r, WithListener(l), WithSeed(int64(len(m.hosts)+1)))
	if err != nil {
		m.t.Fatal(err)
	}
	if len(m.seeds) < 2 {
		m.seeds = append(m.seeds, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{node: n, recorder: r, address: address, cancel: cancel, done: make(chan struct{})}
	m.hosts[name] = h
	n.SetState(basillift.TargetReady)
	go func() {
		defer close(h.done)
		if err := n.Run(ctx); err != nil {
			m.t.Error(err)
		}
	}()
	return h
}

func (m *mesh) remove(name string) {
	m.hosts[name].stop()
	delete(m.hosts, name)
}

// until waits for a condition of all daemons; the long limit only ends a hung test.
func (m *mesh) until(what string, holds func(name string, n *Node) bool) {
	m.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for name, h := range m.hosts {
		for !holds(name, h.node) {
			if time.Now().After(deadline) {
				m.t.Fatalf("%s: %s never holds; status %+v", name, what, h.node.Status())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func (m *mesh) untilVersion(v basillift.Version) {
	m.t.Helper()
	m.until("version "+v.String(), func(_ string, n *Node) bool { return inForce(n) == v })
}

func inForce(n *Node) basillift.Version {
	if c, ok := n.Current(); ok {
		return c.Version()
	}
	return basillift.Version{}
}

func (m *mesh) untilMembers(count int) {
	m.t.Helper()
	m.until(fmt.Sprintf("%d members alive", count), func(_ string, n *Node) bool { return n.View().Order().Len() == count })
}

func (m *mesh) neverBack() {
	m.t.Helper()
	for name, h := range m.hosts {
		h.recorder.mutex.Lock()
		if h.recorder.back > 0 {
			m.t.Errorf("%s went back to an older version", name)
		}
		h.recorder.mutex.Unlock()
	}
}
