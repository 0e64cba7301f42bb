package blnode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// fetchTimeout is the deadline for a fetch. A full snapshot of 100,000 customers takes well
// below 1 s on a local network.
const fetchTimeout = 5 * time.Second

// conflictInterval is the minimum time between two attempts to resolve a conflict.
const conflictInterval = 2 * time.Second

// encodedDelta caches the last encoded delta, which a daemon sends to up to 8 children.
type encodedDelta struct {
	from, to basillift.Version
	data     json.RawMessage
}

// performRelayActions performs the actions that the relay state returned.
func (n *Node) performRelayActions(_ time.Time, actions []blrelay.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blrelay.ActionPush:
			n.push(a)
		case blrelay.ActionAnnounce:
			n.announce(a.Peer())
		case blrelay.ActionFetch:
			n.start(&fetchTask{node: n, action: a, have: n.holder.Version()})
		case blrelay.ActionApply:
			// The caller has the delta; see handlePushedDelta.
		}
	}
}

func (n *Node) announce(peer basillift.VMID) {
	n.pool.Notify(peer, blrpc.MethodAnnounce, blrpc.Announce{Version: n.holder.Version().String()})
}

func (n *Node) push(a blrelay.Action) {
	data, found := n.delta(a.From())
	if !found {
		n.announce(a.Peer())
		return
	}
	n.pool.Notify(a.Peer(), blrpc.MethodPush, blrpc.Push{Delta: data})
}

func (n *Node) delta(from basillift.Version) (json.RawMessage, bool) {
	if n.lastDelta.data != nil && n.lastDelta.from == from && n.lastDelta.to == n.holder.Version() {
		return n.lastDelta.data, true
	}
	d, found := n.holder.History().DeltaFrom(from)
	if !found {
		return nil, false
	}
	data, err := blconfig.EncodeDelta(d)
	if err != nil {
		return nil, false
	}
	n.lastDelta = encodedDelta{from: from, to: d.To(), data: data}
	return data, true
}

// observePeerVersion processes the version and the digest that a peer reports to hold.
func (n *Node) observePeerVersion(now time.Time, peer basillift.VMID, version, digest string, c blrelay.Cause) {
	v, err := basillift.ParseVersion(version)
	if err != nil {
		return
	}
	n.join.RecordAnswer(peer, v)
	if v == n.holder.Version() && !v.IsZero() {
		n.compareDigest(now, peer, v, digest)
	}
	n.performRelayActions(now, n.relay.Apply(now, blrelay.VersionObserved(peer, v, c)))
	n.reconsiderCandidate(now)
	n.activate(now)
}

// compareDigest detects a peer that holds different content under the same version. Only the
// platform determines which content is correct, so readers read it again.
func (n *Node) compareDigest(now time.Time, peer basillift.VMID, v basillift.Version, digest string) {
	peerDigest, err := parseDigest(digest)
	if err != nil {
		return
	}
	_, known := n.holder.Conflict()
	if n.holder.Observe(now, v, peerDigest) != blconfig.DecisionConflict || known {
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(v, peerDigest).WithTarget(peer).
		WithDetail("peer holds other content under the version in force"))
	n.resolveConflict(now)
}

// resolveConflict obtains the correct content of a version that was observed with two
// different digests. A reader reads the platform again; any other daemon fetches the full
// snapshot from a reader of its failure domain.
func (n *Node) resolveConflict(now time.Time) {
	if _, found := n.holder.Conflict(); !found || now.Sub(n.conflictTriedAt) < conflictInterval {
		return
	}
	n.conflictTriedAt = now
	if n.reader != nil {
		n.reader.reread()
		return
	}
	self := n.members.Self()
	readers := n.members.Order().Readers(self.Place().FailureDomain())
	if len(readers) > 0 {
		n.start(&conflictTask{node: n, peer: readers[n.random.Intn(len(readers))]})
	}
}

// conflictTask fetches the full snapshot from a reader to resolve a conflict.
type conflictTask struct {
	node *Node
	peer basillift.VMID
}

func (c *conflictTask) run(ctx context.Context) {
	n := c.node
	f := &fetchTask{node: n, action: blrelay.FetchFull(c.peer)}
	answer, err := f.ask(ctx)
	if err != nil || answer.Full == "" {
		return
	}
	snapshot, err := decodeFull(answer.Full)
	if err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		if n.holder.AdoptFromReader(now, snapshot) == blconfig.DecisionAdopt {
			n.finishAdoption(now, c.peer)
		}
	})
}

// handlePushedDelta processes a delta that a peer pushed.
func (n *Node) handlePushedDelta(now time.Time, peer basillift.VMID, d blconfig.Delta) {
	for _, a := range n.relay.Apply(now, blrelay.Pushed(peer, d.From(), d.To())) {
		if a.Kind() != blrelay.ActionApply {
			n.performRelayActions(now, []blrelay.Action{a})
			continue
		}
		n.applyDelta(now, peer, d)
	}
}

func (n *Node) applyDelta(now time.Time, peer basillift.VMID, d blconfig.Delta) {
	decision, err := n.holder.ApplyDeltaIfNewer(now, d)
	if err != nil {
		n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(d.To(), d.Digest()).
			WithTarget(peer).WithDetail(err.Error()))
		n.performRelayActions(now, n.relay.Apply(now, blrelay.Rejected(peer, d.To())))
		return
	}
	if decision == blconfig.DecisionAdopt {
		n.finishAdoption(now, peer)
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(d.To(), d.Digest()).WithTarget(peer))
}

// offerSnapshot adopts a full snapshot from a peer if it is newer than the held one.
func (n *Node) offerSnapshot(now time.Time, peer basillift.VMID, s *blconfig.Snapshot) {
	if n.holder.AdoptIfNewer(now, s) == blconfig.DecisionAdopt {
		n.finishAdoption(now, peer)
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(s.Version(), s.Digest()).WithTarget(peer))
}

// finishAdoption puts a newly held version in force, if the daemon may serve calls, and
// distributes it. The peer is empty if the version came from the platform.
func (n *Node) finishAdoption(now time.Time, peer basillift.VMID) {
	n.activate(now)
	n.clearRefusedVersion(n.holder.Version())
	n.publishMessages()
	if n.reader != nil {
		n.reader.versionAdopted(n.holder.Version())
	}
	n.performRelayActions(now, n.relay.Apply(now, blrelay.Adopted(peer, n.holder.Version())))
}

// activate puts the held version in force once the daemon may serve calls with it.
func (n *Node) activate(now time.Time) {
	s := n.holder.Current()
	if s == nil || n.store.Snapshot() == s || !n.join.Ready(now, s.Version()) {
		return
	}
	if !n.store.Set(s) {
		return
	}
	n.ready.Store(true)
	n.record(basillift.NewEvent(now, basillift.EventVersionApplied).WithVersion(s.Version(), s.Digest()))
}

// reconsiderCandidate adopts a version that was read from the platform while the daemon was
// still asking its peers, once that is permitted.
func (n *Node) reconsiderCandidate(now time.Time) {
	s := n.candidate
	if s == nil || !n.join.MayAdoptFromPlatform(now, s.Version()) {
		return
	}
	n.candidate = nil
	n.offerPlatformSnapshot(now, s)
}

// offerPlatformSnapshot adopts a version that was read from the platform. While the daemon
// is still asking its peers, it keeps the version as a candidate.
func (n *Node) offerPlatformSnapshot(now time.Time, s *blconfig.Snapshot) {
	if !n.join.MayAdoptFromPlatform(now, s.Version()) {
		n.candidate = s
		return
	}
	if s.Version().NewerThan(n.holder.Version()) {
		n.record(basillift.NewEvent(now, basillift.EventVersionSeen).WithVersion(s.Version(), s.Digest()))
	}
	switch n.holder.AdoptFromReader(now, s) {
	case blconfig.DecisionAdopt:
		n.finishAdoption(now, "")
	case blconfig.DecisionEqual:
	default:
		n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(s.Version(), s.Digest()))
	}
}

// fetchTask requests from one peer everything that is newer than the held version.
type fetchTask struct {
	node   *Node
	action blrelay.Action
	have   basillift.Version
}

func (f *fetchTask) run(ctx context.Context) {
	n, peer := f.node, f.action.Peer()
	answer, err := f.ask(ctx)
	if err != nil {
		n.put(ctx, func(now time.Time) {
			n.join.RemoveAnswer(peer)
			n.performRelayActions(now, n.relay.Apply(now, blrelay.FetchFailed(peer, 0)))
		})
		return
	}
	if answer.Retry > 0 {
		wait := time.Duration(answer.Retry) * time.Millisecond
		n.put(ctx, func(now time.Time) { n.performRelayActions(now, n.relay.Apply(now, blrelay.FetchFailed(peer, wait))) })
		return
	}
	apply, err := f.decodeStep(answer)
	if err != nil {
		n.put(ctx, func(now time.Time) {
			n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(f.action.Version(), 0).
				WithTarget(peer).WithDetail(err.Error()))
			n.performRelayActions(now, n.relay.Apply(now, blrelay.Rejected(peer, f.action.Version())))
		})
		return
	}
	n.put(ctx, func(now time.Time) {
		apply(now)
		n.performRelayActions(now, n.relay.Apply(now, blrelay.Fetched(peer)))
	})
}

func (f *fetchTask) ask(ctx context.Context) (blrpc.Fetched, error) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := blrpc.Fetch{Have: f.have.String(), Full: f.action.Full()}
	if c := f.action.Cause(); c == blrelay.CauseProbe || c == blrelay.CauseCall {
		request.Cause = blrpc.CauseRepair
	}
	var answer blrpc.Fetched
	if err := f.node.pool.Call(callCtx, f.action.Peer(), blrpc.MethodFetch, request, &answer); err != nil {
		return answer, fmt.Errorf("fetch: %w", err)
	}
	return answer, nil
}

// decodeStep decodes an answer and returns the step that applies it. It runs outside the
// control loop, since decoding a full snapshot takes some milliseconds.
func (f *fetchTask) decodeStep(answer blrpc.Fetched) (step, error) {
	n, peer := f.node, f.action.Peer()
	if answer.Delta != nil {
		d, err := blconfig.DecodeDelta(*answer.Delta)
		if err != nil {
			return nil, fmt.Errorf("fetch delta: %w", err)
		}
		return func(now time.Time) { n.applyDelta(now, peer, d) }, nil
	}
	s, err := decodeFull(answer.Full)
	if err != nil {
		return nil, fmt.Errorf("fetch full snapshot: %w", err)
	}
	return func(now time.Time) { n.offerSnapshot(now, peer, s) }, nil
}

func decodeFull(text string) (*blconfig.Snapshot, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("decode base64: %w: %w", basillift.ErrRefused, err)
	}
	s, err := blconfig.DecodeFull(data)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return s, nil
}
