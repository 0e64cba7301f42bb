package blnode

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func (m *mesh) addDomains(domains string, count int) {
	m.t.Helper()
	for _, d := range domains {
		for i := range count {
			m.add(fmt.Sprintf("%c-%d", d, i))
		}
	}
	m.waitForMembers(len(domains) * count)
}

// Guards against a restarted daemon that serves an older version: the platform answers from
// a stale replica, while the daemon's peers hold the newest version.
func TestRestartWithStalePlatform(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	serveStale := p.snapshot()
	newest := p.writeCustomers(100, 1)
	m.addDomains("ab", 2)
	m.waitForVersion(newest)
	serveStale()
	for _, name := range []string{"a-0", "b-1"} {
		m.remove(name)
		m.add(name)
		m.waitForVersion(newest)
		is.New(t).Equal(m.daemons[name].recorder.count(basillift.EventVersionApplied), 1)
	}
	m.requireNoRollback()
}

// Guards against a daemon that does not become ready because it has no peers, and against
// one that keeps an older version from the platform after it has reached a peer.
func TestRestartWithoutPeers(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.waitForVersion(basillift.NewVersion(1, 2))
	newest := p.writeCustomers(100, 1)
	m.add("a-1")
	m.waitForVersion(newest)
	m.requireNoRollback()
}

// Guards against a mesh that does not recover when all daemons restart at the same time, and
// against a thundering herd: many more daemons than the readers read the platform.
func TestSimultaneousRestart(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform()
	m := newMesh(t, p)
	m.addDomains("ab", 8)
	m.waitForVersion(basillift.NewVersion(1, 2))
	m.stop()
	m.daemons, m.seeds = map[string]*daemon{}, nil
	newest := p.writeCustomers(5000, 1)
	before := p.readCount()
	m.addDomains("ab", 8)
	m.waitForVersion(newest)
	readers := 0
	for _, d := range m.daemons {
		readers += d.recorder.count(basillift.EventReaderStarted)
	}
	t.Logf("%d readers, %d reads", readers, p.readCount()-before)
	is.True(readers <= 8)
}

// Guards against a subtree or failure domain that misses versions after the daemons above it
// in the distribution tree have stopped: the head, both readers, an inner node.
func TestRelayFailure(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.addDomains("ab", 12)
	m.waitForVersion(basillift.NewVersion(1, 2))
	order := m.daemons["b-3"].node.View().Order().Domain("a")
	stopped := []basillift.VMID{order[0], order[1], order[2]}
	for i, id := range stopped {
		m.remove(string(id))
		m.waitForVersion(p.writeCustomers(100, i+1))
	}
	m.waitForMembers(24 - len(stopped))
	m.waitUntil("readers", func(_ string, n *Node) bool {
		return len(n.Status().Readers) == 2
	})
	m.waitForVersion(p.writeCustomers(100, 9))
	m.requireNoRollback()
}

// Guards against a daemon without seeds that does not find the mesh through the platform's
// VM list, and against readers that never connect to VMs which only the list names.
func TestFirstContactByList(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	first := m.add("a-0")
	p.write(basillift.KeyVMs, fmt.Sprintf(
		`[{"name":"a-0","address":%q,"service":"catalogue","domain":"a","region":"r","state":"live"}]`, first.address))
	m.seeds = nil
	m.add("b-0")
	m.waitForMembers(2)
	m.waitUntil("version", func(_ string, n *Node) bool { return n.Ready() })
}

// Guards against a failure domain that receives no new versions while it cannot reach the
// platform.
func TestCutOffFromPlatform(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.add("a-1")
	m.platform = &unreachablePlatform{}
	m.add("b-0")
	m.add("b-1")
	m.waitForMembers(4)
	for i := range 3 {
		m.waitForVersion(p.writeCustomers(100, i+1))
	}
	is.New(t).True(m.daemons["b-0"].node.Status().Platform.Condition != "ok")
}

type unreachablePlatform struct{}

func (unreachablePlatform) Read(context.Context, string) (basillift.Value, error) {
	return basillift.Value{}, basillift.ErrUnavailable
}

func (unreachablePlatform) Watch(context.Context, string, uint64) (basillift.Value, error) {
	return basillift.Value{}, basillift.ErrUnavailable
}

// Guards against a refused version that is still reported after operators have corrected the
// list, so that its alert never closes.
func TestRefusalEnds(t *testing.T) {
	p := newFakePlatform()
	m := newMesh(t, p)
	m.add("a-0")
	m.waitForVersion(p.writeCustomers(10, 1))
	problem := func(_ string, n *Node) bool { return n.Status().Platform.Problem != "" }
	for _, bad := range []string{`{"epoch":1,"customers":[]}`, `{`} {
		p.write(basillift.KeyCustomers, bad)
		m.waitUntil("refused version reported", problem)
		m.waitForVersion(p.writeCustomers(10, 2))
		m.waitUntil("refused version cleared", func(name string, n *Node) bool { return !problem(name, n) })
	}
}
