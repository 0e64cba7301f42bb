package blnode

import (
	"context"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// publishEvery bounds the steps between two publications while the ring is never empty.
const publishEvery = 64

// loop owns the state of the node. It never waits for the network.
func (n *Node) loop(ctx context.Context) {
	defer n.tasks.Done()
	defer n.stopReading()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	steps := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.tick(time.Now())
		case s := <-n.control.Values():
			s(time.Now())
		}
		steps++
		if n.control.Len() == 0 || steps >= publishEvery {
			steps = 0
			n.publish(time.Now())
		}
	}
}

func (n *Node) tick(now time.Time) {
	n.reconcileState(now)
	n.perform(now, n.members.Apply(now, blmember.Tick()))
	n.distribute(now, n.relay.Apply(now, blrelay.Tick()))
	n.considerCandidate(now)
	n.enforce(now)
	n.settle(now)
	n.writeStatus(now)
}

func (n *Node) reconcileState(now time.Time) {
	wanted := n.State()
	if n.members.Self().State() != wanted {
		n.perform(now, n.members.Apply(now, blmember.TargetChanged(wanted)))
	}
}

// offer hands over an observation that is repeated soon when it is lost, such as a probe.
func (n *Node) offer(s step) {
	if !n.control.Offer(s) {
		n.dropped.Add(1)
	}
}

// put hands over an observation that must not be lost, waiting for room. The loop never
// waits for the caller, so the wait ends.
func (n *Node) put(ctx context.Context, s step) bool { return n.control.Put(ctx, s) }

// ask runs a step on the control loop and waits for its result.
func ask[T any](ctx context.Context, n *Node, question func(now time.Time) T) (T, bool) {
	answer := make(chan T, 1)
	if n.put(ctx, func(now time.Time) { answer <- question(now) }) {
		select {
		case v := <-answer:
			return v, true
		case <-ctx.Done():
		}
	}
	var zero T
	return zero, false
}

// publish makes changes visible to other goroutines and to the duties that depend on the order.
func (n *Node) publish(now time.Time) {
	if g := n.members.Generation(); g != n.generation {
		n.generation = g
		n.board.Publish(n.members.View())
		n.arrange(now, n.members.Order())
	}
	n.publishAnswers()
	n.considerReading(now)
}

func (n *Node) arrange(now time.Time, o *blrelay.Order) {
	if o == n.order {
		return
	}
	n.order = o
	n.join.Known(o.Len() - 1)
	self := n.board.Self().ID()
	kept := o.Links(self)
	kept = append(kept, o.Successors(self, 2)...)
	kept = append(kept, o.Predecessors(self, 2)...)
	n.pool.Keep(kept)
	n.distribute(now, n.relay.Apply(now, blrelay.Arranged(o)))
}

func (n *Node) publishAnswers() {
	version := n.holder.Version()
	n.held.Store(&version)
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

// considerReading starts and stops the duty of reading the platform. A daemon that has
// not asked its peers yet would count itself a reader because it knows no other member.
func (n *Node) considerReading(now time.Time) {
	wanted := n.order.IsReader(n.members.Self().ID()) && n.join.Asked(now) && n.ctx != nil
	if wanted == (n.reader != nil) {
		return
	}
	if !wanted {
		n.stopReading()
		n.record(basillift.NewEvent(now, basillift.EventReaderStopped))
		return
	}
	n.reader = newReader(n, n.fork())
	n.reading.Store(true)
	n.record(basillift.NewEvent(now, basillift.EventReaderStarted))
	n.reader.start(n.ctx)
}

func (n *Node) stopReading() {
	if n.reader == nil {
		return
	}
	n.reader.stop()
	n.reader = nil
	n.reading.Store(false)
}
