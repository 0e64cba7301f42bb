package blnode

import (
	"context"
	"math/rand"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrpc"
	"basillift.dev/basillift/common/blwait"
)

const (
	// greetFirst is the time between two rounds of first contacts while the daemon still
	// asks its peers; greetLast that between two attempts at seeds that belong to no
	// living member, which heals a partition that was there from the start.
	greetFirst = 250 * time.Millisecond
	greetLast  = 10 * time.Second
	// greetBatch bounds the contacts of one round.
	greetBatch = 4
	// askLimit bounds the members that a starting daemon asks for their version beside its
	// first contacts. Without it, 128 daemons that start together held 40 connections each.
	askLimit = 8
	// listInterval is the time between two reads of the VM list by a daemon that knows no
	// other; it stays well within the readers' budget when 1,200 daemons start at once.
	listInterval = 3 * time.Second
	// listTimeout bounds the read of the VM list for first contacts.
	listTimeout = time.Second
)

// greeting finds the first peers of a daemon and, later, members that it lost touch with.
type greeting struct {
	node   *Node
	random *rand.Rand
	readAt time.Time
	asked  map[basillift.VMID]bool
}

func newGreeting(n *Node) *greeting {
	return &greeting{node: n, random: n.fork(), asked: map[basillift.VMID]bool{}}
}

func (g *greeting) loop(ctx context.Context) {
	defer g.node.tasks.Done()
	for {
		g.round(ctx)
		wait := greetLast
		if !g.node.joined(ctx) {
			wait = greetFirst
		}
		if !blwait.For(ctx, wait/2+time.Duration(g.random.Int63n(int64(wait)))) {
			return
		}
	}
}

func (n *Node) joined(ctx context.Context) bool {
	asked, _ := ask(ctx, n, n.join.Asked)
	return asked
}

// round greets addresses of which no living member is known.
func (g *greeting) round(ctx context.Context) {
	known := g.addresses()
	if len(known) <= 1 && time.Since(g.readAt) >= listInterval {
		g.readAt = time.Now()
		g.list(ctx)
	}
	contacts := g.choose(known)
	for _, address := range contacts {
		g.greet(ctx, address)
	}
	if !g.node.joined(ctx) && len(contacts) == 0 {
		g.askMember(ctx)
	}
}

func (g *greeting) addresses() map[string]bool {
	known := map[string]bool{}
	for _, s := range g.node.Members() {
		if s.Liveness() != basillift.LivenessDead {
			known[s.Member().Addresses().Control()] = true
		}
	}
	return known
}

func (g *greeting) choose(known map[string]bool) []string {
	var contacts []string
	for _, address := range append(slices.Clone(g.node.seeds), *g.node.listed.Load()...) {
		if !known[address] {
			known[address] = true
			contacts = append(contacts, address)
		}
	}
	g.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts[:min(greetBatch, len(contacts))]
}

// list reads the platform's VM list when the seeds gave no contact.
func (g *greeting) list(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	value, err := g.node.platform.Read(limited, basillift.KeyVMs)
	if err != nil {
		return
	}
	list, err := bllist.ParseVMs(value.Data())
	if err != nil {
		return
	}
	g.node.setListed(list)
}

// setListed notes the addresses of the platform's VM list, which the greeting tries when no
// living member has them: after a long partition both sides may consist of VMs that the
// other never met.
func (n *Node) setListed(list bllist.VMList) {
	addresses := make([]string, 0, len(list))
	for _, e := range list {
		if basillift.VMID(e.Name) != n.Self().ID() {
			addresses = append(addresses, e.Address)
		}
	}
	n.listed.Store(&addresses)
}

func (g *greeting) greet(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	peer, err := g.node.pool.Greet(limited, address)
	if err != nil {
		return
	}
	g.exchange(limited, peer)
	g.node.pool.Release(peer)
}

// exchange takes all records of a peer at once, since a daemon that starts knows none.
func (g *greeting) exchange(ctx context.Context, peer basillift.VMID) {
	n := g.node
	message := encodeExchange("", []basillift.Member{n.Self()}, nil)
	var answer blrpc.Exchange
	if err := n.pool.Call(ctx, peer, blrpc.MethodExchange, message, &answer); err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.Exchanged(peer, decodeMembers(answer.Records), decodeClaims(answer.Claims))))
	})
}

// askMember asks one more member of its own and one of another failure domain for their versions.
func (g *greeting) askMember(ctx context.Context) {
	var near, far []basillift.VMID
	self := g.node.Self()
	for _, s := range g.node.Members() {
		m := s.Member()
		switch {
		case m.ID() == self.ID() || g.asked[m.ID()]:
		case s.Liveness() == basillift.LivenessDead || m.State() == basillift.TargetGone:
		case m.Place().FailureDomain() == self.Place().FailureDomain():
			near = append(near, m.ID())
		default:
			far = append(far, m.ID())
		}
	}
	for _, ids := range [][]basillift.VMID{far, near} {
		if len(ids) == 0 || len(g.asked) >= askLimit || ctx.Err() != nil {
			continue
		}
		peer := ids[g.random.Intn(len(ids))]
		g.asked[peer] = true
		g.node.start(&probing{node: g.node, peer: peer})
	}
}
