package blnode

import (
	"context"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

const (
	// probeTimeout is when a probe counts as failed.
	probeTimeout = time.Second
	// exchangeTimeout bounds an exchange of records.
	exchangeTimeout = 3 * time.Second
)

// perform carries out what the membership decided.
func (n *Node) perform(now time.Time, actions []blmember.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blmember.ActionProbe:
			n.start(&probing{node: n, peer: a.Peer()})
		case blmember.ActionIndirect:
			n.start(&indirect{node: n, peer: a.Peer(), via: a.Via()})
		case blmember.ActionExchange:
			records, claims := n.members.Knowledge(a.Domain())
			n.start(&exchange{node: n, peer: a.Peer(), message: encodeExchange(a.Domain(), records, claims)})
		case blmember.ActionFlood:
			n.flood(a)
		case blmember.ActionReport:
			n.record(basillift.NewEvent(now, a.Report()).WithTarget(a.Peer()).WithState(a.State()).WithDetail(a.Detail()))
		case blmember.ActionPaused:
			n.record(basillift.NewEvent(now, basillift.EventPaused).WithDetail(a.Detail()))
		}
	}
}

// flood sends records along all links of the order as it is after the change, so that the
// news of a dead member also reaches those that were reached through it.
func (n *Node) flood(a blmember.Action) {
	message := blrpc.Records{
		Cause: causeOf(a), Records: encodeMembers(a.Records()), Claims: encodeClaims(a.Assertions()),
	}
	for _, id := range n.members.Order().Links(n.members.Self().ID()) {
		if id != a.Peer() {
			n.pool.Notify(id, blrpc.MethodRecords, message)
		}
	}
}

// causeOf tells records of a changed target state, which have a sequence, from those of
// joined members.
func causeOf(a blmember.Action) string {
	if len(a.Assertions()) > 0 {
		return ""
	}
	for _, m := range a.Records() {
		if m.Sequence() == 0 {
			return ""
		}
	}
	return blrpc.CauseTarget
}

type task interface{ run(ctx context.Context) }

// start runs a task that waits for the network.
func (n *Node) start(t task) {
	if n.ctx == nil {
		return
	}
	n.tasks.Add(1)
	go n.runTask(t)
}

func (n *Node) runTask(t task) {
	defer n.tasks.Done()
	t.run(n.ctx)
}

type probing struct {
	node *Node
	peer basillift.VMID
}

func (p *probing) run(ctx context.Context) {
	n := p.node
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer blrpc.Probe
	if err := n.pool.Call(limited, p.peer, blrpc.MethodProbe, n.probe.Load(), &answer); err != nil {
		n.put(ctx, func(now time.Time) {
			n.join.Unreachable(p.peer)
			n.perform(now, n.members.Apply(now, blmember.ProbeFailed(p.peer)))
		})
		return
	}
	n.put(ctx, func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.ProbeAnswered(p.peer, decodeDigests(answer.Records))))
		n.heard(now, p.peer, answer.Version, answer.Digest, blrelay.CauseProbe)
	})
}

type indirect struct {
	node *Node
	peer basillift.VMID
	via  basillift.VMID
}

func (i *indirect) run(ctx context.Context) {
	n := i.node
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	address, _ := n.address(i.peer)
	var answer blrpc.Reached
	err := n.pool.Call(limited, i.via, blrpc.MethodIndirect, blrpc.Indirect{Name: string(i.peer), Address: address}, &answer)
	n.put(ctx, func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.IndirectAnswered(i.peer, err == nil && answer.Reached)))
	})
}

type exchange struct {
	node    *Node
	peer    basillift.VMID
	message blrpc.Exchange
}

func (e *exchange) run(ctx context.Context) {
	n := e.node
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer blrpc.Exchange
	if err := n.pool.Call(limited, e.peer, blrpc.MethodExchange, e.message, &answer); err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.Exchanged(e.peer, decodeMembers(answer.Records), decodeClaims(answer.Claims))))
	})
}
