package blnode

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func (m *mesh) grow(domains string, count int) {
	m.t.Helper()
	for _, d := range domains {
		for i := range count {
			m.add(fmt.Sprintf("%c-%d", d, i))
		}
	}
	m.untilMembers(len(domains) * count)
}

// Guards against a restarted daemon that serves an older version because the platform
// answers with an old replica, while its peers hold the newest.
func TestRestartWithStalePlatform(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	stale := p.save()
	newest := p.writeCustomers(100, 1)
	m.grow("ab", 2)
	m.untilVersion(newest)
	stale()
	for _, name := range []string{"a-0", "b-1"} {
		m.remove(name)
		m.add(name)
		m.untilVersion(newest)
		is.New(t).Equal(m.hosts[name].recorder.count(basillift.EventVersionApplied), 1)
	}
	m.neverBack()
}

// Guards against a daemon that does not start because it has no peers, and against one
// that keeps the platform's older version once it reaches a peer.
func TestRestartWithoutPeers(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.untilVersion(basillift.NewVersion(1, 2))
	newest := p.writeCustomers(100, 1)
	m.add("a-1")
	m.untilVersion(newest)
	m.neverBack()
}

// Guards against a mesh that does not come back after all daemons restart, and against
// a herd that reads the platform with more than its readers.
func TestHerdRestart(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform()
	m := newMesh(t, p)
	m.grow("ab", 8)
	m.untilVersion(basillift.NewVersion(1, 2))
	m.stop()
	m.hosts, m.seeds = map[string]*host{}, nil
	newest := p.writeCustomers(5000, 1)
	before := p.readCount()
	m.grow("ab", 8)
	m.untilVersion(newest)
	readers := 0
	for _, h := range m.hosts {
		readers += h.recorder.count(basillift.EventReaderStarted)
	}
	t.Logf("%d readers, %d reads", readers, p.readCount()-before)
	is.True(readers <= 8)
}

// Guards against a subtree or failure domain that misses versions after the death of the
// daemons above it: the head, both readers, an inner node.
func TestDeathOfRelays(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.grow("ab", 12)
	m.untilVersion(basillift.NewVersion(1, 2))
	order := m.hosts["b-3"].node.View().Order().Domain("a")
	victims := []basillift.VMID{order[0], order[1], order[2]}
	for i, v := range victims {
		m.remove(string(v))
		m.untilVersion(p.writeCustomers(100, i+1))
	}
	m.untilMembers(24 - len(victims))
	m.until("readers", func(_ string, n *Node) bool {
		return len(n.Status().Readers) == 2
	})
	m.untilVersion(p.writeCustomers(100, 9))
	m.neverBack()
}

// Guards against a daemon without seeds that does not find the mesh by the platform's VM
// list, and against readers that never meet VMs which only the list names.
func TestFirstContactByList(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	first := m.add("a-0")
	p.write(basillift.KeyVMs, fmt.Sprintf(
		`[{"name":"a-0","address":%q,"service":"catalogue","domain":"a","region":"r","state":"live"}]`, first.address))
	m.seeds = nil
	m.add("b-0")
	m.untilMembers(2)
	m.until("version", func(_ string, n *Node) bool { return n.Ready() })
}

// Guards against a failure domain that stops converging when it cannot reach the platform.
func TestCutOffFromPlatform(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.add("a-1")
	m.platform = &unreachablePlatform{}
	m.add("b-0")
	m.add("b-1")
	m.untilMembers(4)
	for i := range 3 {
		m.untilVersion(p.writeCustomers(100, i+1))
	}
	is.New(t).True(m.hosts["b-0"].node.Status().Platform.Condition != "ok")
}

type unreachablePlatform struct{}

func (unreachablePlatform) Read(context.Context, string) (basillift.Value, error) {
	return basillift.Value{}, basillift.ErrUnavailable
}

func (unreachablePlatform) Watch(context.Context, string, uint64) (basillift.Value, error) {
	return basillift.Value{}, basillift.ErrUnavailable
}

// Guards against a refusal that is still reported after operators have mended the list, so that
// its notice never closes.
func TestRefusalEnds(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.untilVersion(p.writeCustomers(10, 1))
	problem := func(_ string, n *Node) bool { return n.Status().Platform.Problem != "" }
	for _, bad := range []string{`{"epoch":1,"customers":[]}`, `{`} {
		p.write(basillift.KeyCustomers, bad)
		m.until("refusal", problem)
		m.untilVersion(p.writeCustomers(10, 2))
		m.until("end of the refusal", func(id string, n *Node) bool { return !problem(id, n) })
	}
}
