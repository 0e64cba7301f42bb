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
	// probeTimeout is the time without an answer after which a probe has failed.
	probeTimeout = time.Second
	// exchangeTimeout is the deadline for an exchange of records.
	exchangeTimeout = 3 * time.Second
)

// performMemberActions performs the actions that the membership state returned.
func (n *Node) performMemberActions(now time.Time, actions []blmember.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blmember.ActionProbe:
			n.start(&probeTask{node: n, peer: a.Peer()})
		case blmember.ActionIndirect:
			n.start(&indirectProbeTask{node: n, peer: a.Peer(), via: a.Via()})
		case blmember.ActionExchange:
			records, assertions := n.members.Snapshot(a.Domain())
			n.start(&exchangeTask{node: n, peer: a.Peer(), message: encodeExchange(a.Domain(), records, assertions)})
		case blmember.ActionFlood:
			n.flood(a)
		case blmember.ActionReport:
			n.record(basillift.NewEvent(now, a.Report()).WithTarget(a.Peer()).WithState(a.State()).WithDetail(a.Detail()))
		case blmember.ActionPaused:
			n.record(basillift.NewEvent(now, basillift.EventPaused).WithDetail(a.Detail()))
		}
	}
}

// flood sends records to the neighbors in the order of the members after the change. This way
// the report of a dead member also reaches the members that were connected through it.
func (n *Node) flood(a blmember.Action) {
	message := blrpc.Records{
		Cause: causeOf(a), Records: encodeMembers(a.Records()), Claims: encodeAssertions(a.Assertions()),
	}
	for _, id := range n.members.Order().Links(n.members.Self().ID()) {
		if id != a.Peer() {
			n.pool.Notify(id, blrpc.MethodRecords, message)
		}
	}
}

// causeOf returns the cause field of a flooded message. Records of a changed target state
// have a sequence above 0; those of members that joined have the sequence 0.
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

// start runs a task, which may wait for the network, in a goroutine of its own. Before Run
// it does nothing.
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

type probeTask struct {
	node *Node
	peer basillift.VMID
}

func (p *probeTask) run(ctx context.Context) {
	n := p.node
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer blrpc.Probe
	if err := n.pool.Call(callCtx, p.peer, blrpc.MethodProbe, n.probe.Load(), &answer); err != nil {
		n.put(ctx, func(now time.Time) {
			n.join.RemoveAnswer(p.peer)
			n.performMemberActions(now, n.members.Apply(now, blmember.ProbeFailed(p.peer)))
		})
		return
	}
	n.put(ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.ProbeAnswered(p.peer, decodeDigests(answer.Records))))
		n.observePeerVersion(now, p.peer, answer.Version, answer.Digest, blrelay.CauseProbe)
	})
}

type indirectProbeTask struct {
	node *Node
	peer basillift.VMID
	via  basillift.VMID
}

func (i *indirectProbeTask) run(ctx context.Context) {
	n := i.node
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	address, _ := n.address(i.peer)
	var answer blrpc.Reached
	err := n.pool.Call(callCtx, i.via, blrpc.MethodIndirect, blrpc.Indirect{Name: string(i.peer), Address: address}, &answer)
	n.put(ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.IndirectAnswered(i.peer, err == nil && answer.Reached)))
	})
}

type exchangeTask struct {
	node    *Node
	peer    basillift.VMID
	message blrpc.Exchange
}

func (e *exchangeTask) run(ctx context.Context) {
	n := e.node
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer blrpc.Exchange
	if err := n.pool.Call(callCtx, e.peer, blrpc.MethodExchange, e.message, &answer); err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.Exchanged(e.peer, decodeMembers(answer.Records), decodeAssertions(answer.Claims))))
	})
}
