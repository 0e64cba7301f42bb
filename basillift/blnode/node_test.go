package blnode

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"basillift.dev/basillift"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a mesh that does not form, against versions and drains that do not reach
// every daemon, and against leaked goroutines.
func TestThreeDaemons(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform()
	m := newMesh(t, p)
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		m.add(name)
	}
	m.waitForMembers(3)
	m.waitForVersion(basillift.NewVersion(1, 2))
	m.waitUntil("reading", func(_ string, n *Node) bool { return n.isReader.Load() })

	m.waitForVersion(p.writeCustomers(100, 1))
	p.write(basillift.KeyCustomers, `{"epoch":1,"customers":[{"name":"x","plan":"none"}]}`)
	m.waitForVersion(p.writeCustomers(100, 2))

	m.daemons["a-1"].node.SetState(basillift.TargetDraining)
	m.waitUntil("drain", func(_ string, n *Node) bool {
		s, found := n.View().Find("a-1")
		return found && s.Member().State() == basillift.TargetDraining
	})
	is.NoErr(m.daemons["a-1"].node.Leave(context.Background()))
	m.remove("a-1")
	m.waitForMembers(2)
	m.waitForVersion(p.writeCustomers(100, 3))
	m.requireNoRollback()
}
