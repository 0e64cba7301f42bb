package blrelay

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"basillift.dev/basillift"
)

// message is a message in flight. Messages are delivered in any order.
type message struct {
	kind     string
	from, to int
	base     basillift.Version
	version  basillift.Version
}

// model is the state of three daemons and the messages in flight between them.
type model struct {
	ids      []basillift.VMID
	order    *Order
	states   []*State
	inFlight []message
	reads    []message
	crashes  int
	now      time.Time
	failure  string
}

func exploreIDs() []basillift.VMID { return []basillift.VMID{"a-0", "a-1", "a-2"} }

func newModel(reads []message, crashes int) *model {
	var members []basillift.Member
	for _, id := range exploreIDs() {
		members = append(members, testMember(id, "a"))
	}
	o := NewOrder(members)
	m := &model{ids: o.Domain("a"), order: o, reads: reads, crashes: crashes, now: time.Unix(1000, 0)}
	for i := range m.ids {
		m.states = append(m.states, m.newState(i))
	}
	return m
}

func testMember(id basillift.VMID, fd basillift.FailureDomain) basillift.Member {
	return basillift.NewMember(id, 1, basillift.NewAddresses(string(id), "", ""), basillift.NewPlace(fd, "r"), "s", 1)
}

func (m *model) newState(i int) *State {
	s := NewState(m.ids[i], rand.New(rand.NewSource(1)))
	s.Apply(m.now, OrderChanged(m.order))
	return s
}

func (m *model) clone() *model {
	c := *m
	c.inFlight = slices.Clone(m.inFlight)
	c.reads = slices.Clone(m.reads)
	c.states = nil
	for _, s := range m.states {
		d := *s
		d.random = rand.New(rand.NewSource(1))
		d.known = maps.Clone(s.known)
		d.backoffUntil = maps.Clone(s.backoffUntil)
		c.states = append(c.states, &d)
	}
	return &c
}

// key identifies a state of the model, so that each state is explored once.
func (m *model) key() string {
	b := make([]byte, 0, 256)
	for _, s := range m.states {
		b = append(b, byte(s.held.Revision()), byte(m.index(s.fetching)), byte(s.wanted.Revision()), byte(len(s.backoffUntil)))
		b = strconv.AppendBool(b, s.full)
		for _, id := range m.ids {
			v, found := s.known[id]
			b = append(strconv.AppendBool(b, found), byte(v.Revision()))
		}
	}
	flight := make([]string, 0, len(m.inFlight))
	for _, f := range m.inFlight {
		flight = append(flight, f.kind+string([]byte{byte(f.from), byte(f.to), byte(f.base.Revision()), byte(f.version.Revision())}))
	}
	slices.Sort(flight)
	for _, f := range flight {
		b = append(b, f...)
	}
	return string(append(b, '|', byte(len(m.reads)), byte(m.crashes), m.readKey()))
}

// readKey identifies the remaining reads.
func (m *model) readKey() byte {
	key := byte(0)
	for _, r := range m.reads {
		key = key*16 + byte(r.to)*4 + byte(r.version.Revision())
	}
	return key
}

func (m *model) index(id basillift.VMID) int { return slices.Index(m.ids, id) }

func (m *model) apply(i int, e Event) {
	before := m.states[i].held
	m.perform(i, m.states[i].Apply(m.now, e))
	if before.NewerThan(m.states[i].held) {
		m.failure = fmt.Sprintf("%s regressed from %s to %s", m.ids[i], before, m.states[i].held)
	}
}

func (m *model) perform(i int, actions []Action) {
	for _, a := range actions {
		next := message{kind: string(a.Kind()), from: i, to: m.index(a.Peer()), base: a.From(), version: a.Version()}
		if a.Kind() == ActionApply {
			if a.From() != m.states[i].held {
				m.failure = fmt.Sprintf("%s applies a delta from %s to version %s", m.ids[i], a.From(), m.states[i].held)
			}
			m.adopt(i, m.index(a.Peer()), a.Version())
			continue
		}
		m.inFlight = append(m.inFlight, next)
	}
}

// adopt reports a version as adopted whether or not it is newer. blconfig.Holder checks this
// too, but here only the check in State is tested.
func (m *model) adopt(i, from int, v basillift.Version) {
	peer := basillift.VMID("")
	if from >= 0 {
		peer = m.ids[from]
	}
	m.apply(i, Adopted(peer, v))
}

func (m *model) deliver(f message) {
	peer, held := m.ids[f.from], m.states[f.to].held
	switch f.kind {
	case "push":
		m.apply(f.to, Pushed(peer, f.base, f.version))
	case "announce":
		m.apply(f.to, VersionObserved(peer, f.version, CauseAnnounce))
	case "probe":
		m.inFlight = append(m.inFlight, message{kind: "probed", from: f.to, to: f.from, version: held})
		m.apply(f.to, VersionObserved(peer, f.version, CauseProbe))
	case "probed":
		m.apply(f.to, VersionObserved(peer, f.version, CauseProbe))
	case "fetch":
		m.inFlight = append(m.inFlight, message{kind: "fetched", from: f.to, to: f.from, base: f.base, version: held})
		m.apply(f.to, Requested(peer, f.base))
	case "fetched":
		if !f.version.NewerThan(f.base) {
			m.apply(f.to, FetchFailed(peer, 0))
			return
		}
		m.adopt(f.to, f.from, f.version)
		m.apply(f.to, Fetched(peer))
	case "lost":
		m.apply(f.to, Disconnected(peer))
	case "failed":
		m.apply(f.to, FetchFailed(peer, 0))
	}
}

// crash restarts a daemon without a version. Messages in flight to it are lost. The other
// daemons detect the crash at any later time, and so do those that wait for its answer.
func (m *model) crash(i int) {
	m.crashes--
	var kept []message
	for _, f := range m.inFlight {
		switch {
		case f.to == i && f.kind == "fetch":
			kept = append(kept, message{kind: "failed", from: i, to: f.from})
		case f.to == i:
		case f.from == i && f.kind == "fetched":
			kept = append(kept, message{kind: "failed", from: i, to: f.to})
		default:
			kept = append(kept, f)
		}
	}
	m.inFlight = kept
	m.states[i] = m.newState(i)
	for j := range m.states {
		if j != i {
			m.inFlight = append(m.inFlight, message{kind: "lost", from: i, to: j})
		}
	}
}

// successors returns all states that can follow.
func (m *model) successors() []*model {
	var all []*model
	for k, f := range m.inFlight {
		c := m.clone()
		c.inFlight = slices.Delete(c.inFlight, k, k+1)
		c.deliver(f)
		all = append(all, c)
	}
	for k, r := range m.reads {
		c := m.clone()
		c.reads = slices.Delete(c.reads, k, k+1)
		c.adopt(r.to, -1, r.version)
		all = append(all, c)
	}
	if m.crashes > 0 {
		for i := range m.states {
			c := m.clone()
			c.crash(i)
			all = append(all, c)
		}
	}
	return all
}

// checkConvergence simulates 3 s in which probes, one per second, repair lost messages. It
// returns a description of the problem unless all daemons then hold the newest version that
// any of them holds.
func (m *model) checkConvergence() string {
	c := m.clone()
	for range 3 {
		c.now = c.now.Add(time.Second)
		for i := range c.states {
			c.apply(i, Tick())
			next := c.index(c.order.Successors(c.ids[i], 1)[0])
			c.inFlight = append(c.inFlight, message{kind: "probe", from: i, to: next, version: c.states[i].held})
		}
		for len(c.inFlight) > 0 {
			f := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.deliver(f)
		}
	}
	newest := basillift.Version{}
	for _, s := range c.states {
		newest = newer(newest, s.held)
	}
	for i, s := range c.states {
		if s.held != newest {
			return fmt.Sprintf("%s holds %s, newest is %s", c.ids[i], s.held, newest)
		}
	}
	return c.failure
}

func explore(t *testing.T, start *model) int {
	t.Helper()
	seen := map[string]bool{start.key(): true}
	stack := []*model{start}
	for len(stack) > 0 {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if m.failure != "" {
			t.Fatal(m.failure)
		}
		following := m.successors()
		if len(m.inFlight) == 0 {
			if problem := m.checkConvergence(); problem != "" {
				t.Fatalf("after quiescence: %s", problem)
			}
		}
		for _, c := range following {
			if k := c.key(); !seen[k] {
				seen[k] = true
				stack = append(stack, c)
			}
		}
	}
	return len(seen)
}

// Guards against message orders that move a daemon to an older version or leave it there.
// Explores all orders of two versions, read by either reader, with one crash at any moment.
func TestAllOrders(t *testing.T) {
	first, second := basillift.NewVersion(1, 1), basillift.NewVersion(1, 2)
	read := func(reader int, v basillift.Version) message { return message{kind: "read", to: reader, version: v} }
	cases := map[string][]message{
		"both from the head":         {read(0, first), read(0, second)},
		"one from each reader":       {read(0, first), read(1, second)},
		"second version at the head": {read(1, first), read(0, second)},
		"both from the other reader": {read(1, first), read(1, second)},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		t.Run(name, func(t *testing.T) {
			t.Logf("%d states", explore(t, newModel(cases[name], 1)))
		})
	}
}
