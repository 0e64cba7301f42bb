package blconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// mesh models a platform that publishes versions, and daemons that receive them as
// deltas and full transfers in any order. Some transfers are late or damaged.
type mesh struct {
	now      time.Time
	versions []*Snapshot
	contents []content
	holders  []*Holder
	stores   []*Store
	highest  []basillift.Version
}

type content struct {
	customers map[string]string
	plans     map[string]basillift.Plan
	services  map[string]bool
}

func newMesh(t *rapid.T) *mesh {
	m := &mesh{now: time.Unix(1000, 0)}
	for range 3 {
		m.holders = append(m.holders, NewHolder())
		m.stores = append(m.stores, NewStore())
		m.highest = append(m.highest, basillift.Version{})
	}
	m.publish(t, content{
		customers: map[string]string{"c0": "p0"},
		plans:     map[string]basillift.Plan{"p0": basillift.NewPlan("p0", []string{"s0"}, 1, 1, "")},
		services:  map[string]bool{"s0": true},
	})
	return m
}

func (m *mesh) publish(t *rapid.T, c content) {
	var customers []bllist.Customer
	for n, p := range c.customers {
		customers = append(customers, bllist.NewCustomer(n, p))
	}
	plans := slices.Collect(maps.Values(c.plans))
	v := basillift.NewVersion(1+uint64(len(m.versions)/7), uint64(len(m.versions)*2+1))
	lists := bllist.NewLists(v.Epoch(), slices.Collect(maps.Keys(c.services)), plans, customers)
	s, err := Build(v, lists)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.versions) > 0 {
		base := rapid.SampledFrom(m.versions).Draw(t, "base")
		updated, err := base.Update(v, lists)
		if err != nil {
			t.Fatal(err)
		}
		if Diff(s, updated).ChangeCount() != 0 || Diff(updated, s).ChangeCount() != 0 || s.Digest() != updated.Digest() {
			t.Fatalf("update from %s and build of %s differ", base.Version(), v)
		}
		s = rapid.SampledFrom([]*Snapshot{s, updated}).Draw(t, "published")
	}
	m.versions, m.contents = append(m.versions, s), append(m.contents, c)
}

// Publish publishes a version with a few changed entries. All references stay valid.
func (m *mesh) Publish(t *rapid.T) {
	last := m.contents[len(m.contents)-1]
	next := content{maps.Clone(last.customers), maps.Clone(last.plans), maps.Clone(last.services)}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		n := rapid.IntRange(0, 5).Draw(t, "name")
		service, plan, customer := fmt.Sprintf("s%d", n), fmt.Sprintf("p%d", n), fmt.Sprintf("c%d", n)
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			next.services[service] = true
			next.plans[plan] = basillift.NewPlan(plan, []string{service}, rapid.IntRange(0, 3).Draw(t, "rate"), 0, "")
		case 1:
			next.customers[customer] = rapid.SampledFrom(slices.Sorted(maps.Keys(next.plans))).Draw(t, "plan")
		case 2:
			delete(next.customers, customer)
		case 3:
			next.removePlan(plan)
		}
	}
	m.publish(t, next)
}

// removePlan removes a plan that no customer has, and its service if no other plan allows it.
func (c content) removePlan(plan string) {
	if len(c.plans) < 2 || slices.Contains(slices.Collect(maps.Values(c.customers)), plan) {
		return
	}
	service := c.plans[plan].Services()
	delete(c.plans, plan)
	for _, p := range c.plans {
		if slices.Equal(p.Services(), service) {
			return
		}
	}
	if len(service) > 0 {
		delete(c.services, service[0])
	}
}

func (m *mesh) draw(t *rapid.T) (*Holder, *Snapshot) {
	h := rapid.SampledFrom(m.holders).Draw(t, "holder")
	return h, rapid.SampledFrom(m.versions).Draw(t, "version")
}

// Full offers a random published version as a full transfer.
func (m *mesh) Full(t *rapid.T) {
	h, s := m.draw(t)
	data, err := EncodeFull(s)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeFull(data)
	if err != nil {
		t.Fatal(err)
	}
	h.AdoptIfNewer(m.now, decoded)
}

// Delta offers the delta between two random published versions.
func (m *mesh) Delta(t *rapid.T) {
	h, to := m.draw(t)
	_, from := m.draw(t)
	m.offer(t, h, Diff(from, to))
}

// Repair updates one daemon to the version of another, as happens after a probe.
func (m *mesh) Repair(t *rapid.T) {
	h, _ := m.draw(t)
	peer, _ := m.draw(t)
	d, ok := peer.History().DeltaFrom(h.Version())
	if !ok {
		return
	}
	m.offer(t, h, d)
	if h.Version() != peer.Version() {
		t.Fatalf("repair resulted in %s, but the peer has %s", h.Version(), peer.Version())
	}
}

// Damaged offers a delta with a customer that its digest does not cover.
func (m *mesh) Damaged(t *rapid.T) {
	h, to := m.draw(t)
	if h.Current() == nil || !to.Version().NewerThan(h.Version()) {
		return
	}
	d := Diff(h.Current(), to)
	d.customers = maps.Clone(d.customers)
	d.customers["stranger"] = rapid.SampledFrom([]string{"p0", "p1", "unknown"}).Draw(t, "plan")
	before := h.Current()
	if _, err := h.ApplyDeltaIfNewer(m.now, d); err == nil || h.Current() != before {
		t.Fatal("a damaged delta was applied")
	}
}

// Conflict offers different content under the current version of a daemon, and then
// lets a reader confirm the daemon's content.
func (m *mesh) Conflict(t *rapid.T) {
	h, other := m.draw(t)
	if h.Current() == nil || other.Digest() == h.Current().Digest() {
		return
	}
	forged := *other
	forged.version = h.Version()
	before := h.Current()
	if got := h.AdoptIfNewer(m.now, &forged); got != DecisionConflict || h.Current() != before {
		t.Fatalf("decision %s for different content of version %s", got, h.Version())
	}
	if got := h.AdoptFromReader(m.now, before); got != DecisionEqual {
		t.Fatalf("decision %s when the reader confirms the content", got)
	}
}

func (m *mesh) offer(t *rapid.T, h *Holder, d Delta) {
	data, err := EncodeDelta(d)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeDelta(data)
	if err != nil {
		t.Fatal(err)
	}
	before := h.Version()
	decision, err := h.ApplyDeltaIfNewer(m.now, decoded)
	if err != nil && !errors.Is(err, ErrBase) {
		t.Fatal(err)
	}
	if decision == DecisionAdopt && (d.From() != before || h.Version() != d.To()) {
		t.Fatalf("delta from %s to %s changed the version from %s to %s", d.From(), d.To(), before, h.Version())
	}
}

// Check verifies the invariants; rapid runs it after each action.
func (m *mesh) Check(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	for i, h := range m.holders {
		if m.highest[i].NewerThan(h.Version()) {
			t.Fatalf("daemon %d returned from %s to %s", i, m.highest[i], h.Version())
		}
		m.highest[i] = h.Version()
		if h.Current() == nil {
			continue
		}
		m.stores[i].Set(h.Current())
		at := slices.IndexFunc(m.versions, func(s *Snapshot) bool { return s.Version() == h.Version() })
		if d := Diff(m.versions[at], h.Current()); d.ChangeCount() != 0 || d.Digest() != m.versions[at].Digest() {
			t.Fatalf("daemon %d has different content of version %s", i, h.Version())
		}
		for c, p := range m.contents[at].customers {
			plan, found := h.Current().Plan(c)
			if !found || !plan.Equal(m.contents[at].plans[p]) {
				t.Fatalf("customer %s of version %s has another plan", c, h.Version())
			}
		}
	}
}

// Guards against a daemon that returns to an older version, that holds content
// never published under its version, or whose history ends at another version than
// its current one. Random orders of late and damaged transfers can cause each.
func TestHolding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newMesh(t))) })
}
