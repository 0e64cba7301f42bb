package blnode

import (
	"context"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// maxStepsPerPublish is the maximum number of steps between two publications while the queue
// does not become empty.
const maxStepsPerPublish = 64

// loop is the only goroutine that accesses the state of the node. It never waits for the
// network.
func (n *Node) loop(ctx context.Context) {
	defer n.tasks.Done()
	defer n.stopReader()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	steps := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.tick(time.Now())
		case s := <-n.stepQueue.Values():
			s(time.Now())
		}
		steps++
		if n.stepQueue.Len() == 0 || steps >= maxStepsPerPublish {
			steps = 0
			n.publish(time.Now())
		}
	}
}

func (n *Node) tick(now time.Time) {
	n.reconcileState(now)
	n.performMemberActions(now, n.members.Apply(now, blmember.Tick()))
	n.performRelayActions(now, n.relay.Apply(now, blrelay.Tick()))
	n.reconsiderCandidate(now)
	n.activate(now)
	n.resolveConflict(now)
	n.writeStatus(now)
}

func (n *Node) reconcileState(now time.Time) {
	wanted := n.State()
	if n.members.Self().State() != wanted {
		n.performMemberActions(now, n.members.Apply(now, blmember.TargetChanged(wanted)))
	}
}

// offer submits an observation that may be lost because it recurs soon, such as a probe. If
// the queue is full, the observation is dropped and counted.
func (n *Node) offer(s step) {
	if !n.stepQueue.Offer(s) {
		n.dropped.Add(1)
	}
}

// put submits an observation that must not be lost and waits while the queue is full. This
// can't deadlock, since the loop never waits for the caller. It returns false if ctx ends
// first.
func (n *Node) put(ctx context.Context, s step) bool { return n.stepQueue.Put(ctx, s) }

// ask runs a query on the control loop and waits for its result. It returns false if ctx
// ends first.
func ask[T any](ctx context.Context, n *Node, query func(now time.Time) T) (T, bool) {
	answer := make(chan T, 1)
	if n.put(ctx, func(now time.Time) { answer <- query(now) }) {
		select {
		case v := <-answer:
			return v, true
		case <-ctx.Done():
		}
	}
	var zero T
	return zero, false
}

// publish makes changes visible to other goroutines and updates what depends on the order of
// the members.
func (n *Node) publish(now time.Time) {
	if g := n.members.Generation(); g != n.generation {
		n.generation = g
		n.views.Publish(n.members.View())
		n.updateOrder(now, n.members.Order())
	}
	n.publishMessages()
	n.updateReaderRole(now)
}

func (n *Node) updateOrder(now time.Time, o *blrelay.Order) {
	if o == n.order {
		return
	}
	n.order = o
	n.join.SetMemberCount(o.Len() - 1)
	self := n.views.Self().ID()
	neighbors := o.Links(self)
	neighbors = append(neighbors, o.Successors(self, 2)...)
	neighbors = append(neighbors, o.Predecessors(self, 2)...)
	n.pool.KeepOpen(neighbors)
	n.performRelayActions(now, n.relay.Apply(now, blrelay.OrderChanged(o)))
}

func (n *Node) publishMessages() {
	version := n.holder.Version()
	n.heldVersion.Store(&version)
	digest := formatDigest(n.heldDigest())
	n.hello.Store(&blrpc.Hello{
		Record: encodeMember(n.members.Self()), Version: version.String(), Digest: digest,
	})
	n.probe.Store(&blrpc.Probe{
		Version: version.String(), Digest: digest, Records: encodeDigests(n.members.Digests()),
	})
}

func (n *Node) heldDigest() uint64 {
	if s := n.holder.Current(); s != nil {
		return s.Digest()
	}
	return 0
}

// updateReaderRole starts or stops the platform reader as the order of the members requires.
// It does not start one before the daemon has asked its peers: until then the daemon
// knows no other member and would always select itself.
func (n *Node) updateReaderRole(now time.Time) {
	shouldRead := n.order.IsReader(n.members.Self().ID()) && n.join.PeersAnswered(now) && n.ctx != nil
	if shouldRead == (n.reader != nil) {
		return
	}
	if !shouldRead {
		n.stopReader()
		n.record(basillift.NewEvent(now, basillift.EventReaderStopped))
		return
	}
	n.reader = newReader(n, n.newRandom())
	n.isReader.Store(true)
	n.record(basillift.NewEvent(now, basillift.EventReaderStarted))
	n.reader.start(n.ctx)
}

func (n *Node) stopReader() {
	if n.reader == nil {
		return
	}
	n.reader.stop()
	n.reader = nil
	n.isReader.Store(false)
}
