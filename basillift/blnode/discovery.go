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
	// joinInterval is the mean time between two rounds while the daemon still asks its peers
	// for their versions.
	joinInterval = 250 * time.Millisecond
	// reconnectInterval is the mean time between two attempts to reach addresses that belong to
	// no live member. This heals a partition that existed from the start.
	reconnectInterval = 10 * time.Second
	// maxContactsPerRound is the maximum number of addresses contacted in one round.
	maxContactsPerRound = 4
	// maxVersionProbes is the maximum number of members that a starting daemon asks for their
	// version in addition to its first contacts. Without this limit, 128 daemons that started
	// at the same time held 40 connections each.
	maxVersionProbes = 8
	// vmListInterval is the minimum time between two reads of the VM list by a daemon that
	// knows no other daemon. At this interval, 1,200 daemons that start at the same time stay
	// well within the readers' budget.
	vmListInterval = 3 * time.Second
	// vmListTimeout is the deadline for reading the VM list.
	vmListTimeout = time.Second
)

// discovery finds the first peers of a daemon and later reconnects it to members with
// which it has lost contact.
type discovery struct {
	node       *Node
	random     *rand.Rand
	listReadAt time.Time
	probed     map[basillift.VMID]bool
}

func newDiscovery(n *Node) *discovery {
	return &discovery{node: n, random: n.newRandom(), probed: map[basillift.VMID]bool{}}
}

func (d *discovery) loop(ctx context.Context) {
	defer d.node.tasks.Done()
	for {
		d.round(ctx)
		wait := reconnectInterval
		if !d.node.peersAnswered(ctx) {
			wait = joinInterval
		}
		if !blwait.For(ctx, wait/2+time.Duration(d.random.Int63n(int64(wait)))) {
			return
		}
	}
}

func (n *Node) peersAnswered(ctx context.Context) bool {
	answered, _ := ask(ctx, n, n.join.PeersAnswered)
	return answered
}

// round contacts some of the addresses that belong to no live member.
func (d *discovery) round(ctx context.Context) {
	known := d.knownAddresses()
	if len(known) <= 1 && time.Since(d.listReadAt) >= vmListInterval {
		d.listReadAt = time.Now()
		d.readVMList(ctx)
	}
	contacts := d.chooseContacts(known)
	for _, address := range contacts {
		d.contact(ctx, address)
	}
	if !d.node.peersAnswered(ctx) && len(contacts) == 0 {
		d.probeMembers(ctx)
	}
}

func (d *discovery) knownAddresses() map[string]bool {
	known := map[string]bool{}
	for _, s := range d.node.Members() {
		if s.Liveness() != basillift.LivenessDead {
			known[s.Member().Addresses().Control()] = true
		}
	}
	return known
}

func (d *discovery) chooseContacts(known map[string]bool) []string {
	var contacts []string
	for _, address := range append(slices.Clone(d.node.seeds), *d.node.vmAddresses.Load()...) {
		if !known[address] {
			known[address] = true
			contacts = append(contacts, address)
		}
	}
	d.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts[:min(maxContactsPerRound, len(contacts))]
}

// readVMList reads the addresses in the platform's VM list. Errors are ignored, since a
// later round reads the list again.
func (d *discovery) readVMList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	value, err := d.node.platform.Read(callCtx, basillift.KeyVMs)
	if err != nil {
		return
	}
	list, err := bllist.ParseVMs(value.Data())
	if err != nil {
		return
	}
	d.node.setVMAddresses(list)
}

// setVMAddresses stores the addresses in the platform's VM list. The discovery contacts
// those that belong to no live member: after a long partition, each side may consist of
// VMs that the other side has never been connected to.
func (n *Node) setVMAddresses(list bllist.VMList) {
	addresses := make([]string, 0, len(list))
	for _, e := range list {
		if basillift.VMID(e.Name) != n.Self().ID() {
			addresses = append(addresses, e.Address)
		}
	}
	n.vmAddresses.Store(&addresses)
}

func (d *discovery) contact(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	peer, err := d.node.pool.ConnectAddress(callCtx, address)
	if err != nil {
		return
	}
	d.exchange(callCtx, peer)
	d.node.pool.CloseUnused(peer)
}

// exchange requests all records of a peer at once, since a starting daemon has none.
func (d *discovery) exchange(ctx context.Context, peer basillift.VMID) {
	n := d.node
	message := encodeExchange("", []basillift.Member{n.Self()}, nil)
	var answer blrpc.Exchange
	if err := n.pool.Call(ctx, peer, blrpc.MethodExchange, message, &answer); err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.Exchanged(peer, decodeMembers(answer.Records), decodeAssertions(answer.Claims))))
	})
}

// probeMembers asks two more members for their versions: one in another failure domain and
// one in the daemon's own.
func (d *discovery) probeMembers(ctx context.Context) {
	var sameDomain, otherDomains []basillift.VMID
	self := d.node.Self()
	for _, s := range d.node.Members() {
		m := s.Member()
		switch {
		case m.ID() == self.ID() || d.probed[m.ID()]:
		case s.Liveness() == basillift.LivenessDead || m.State() == basillift.TargetGone:
		case m.Place().FailureDomain() == self.Place().FailureDomain():
			sameDomain = append(sameDomain, m.ID())
		default:
			otherDomains = append(otherDomains, m.ID())
		}
	}
	for _, ids := range [][]basillift.VMID{otherDomains, sameDomain} {
		if len(ids) == 0 || len(d.probed) >= maxVersionProbes || ctx.Err() != nil {
			continue
		}
		peer := ids[d.random.Intn(len(ids))]
		d.probed[peer] = true
		d.node.start(&probeTask{node: d.node, peer: peer})
	}
}
