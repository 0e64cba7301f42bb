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

// fetchTimeout bounds a fetch. A full snapshot of 100,000 customers takes well below 1 s on
// a local network.
const fetchTimeout = 5 * time.Second

// settleInterval is the time between two attempts to settle a conflict.
const settleInterval = 2 * time.Second

// encodedDelta keeps the last encoded delta, which a daemon sends to up to 8 children.
type encodedDelta struct {
	from, to basillift.Version
	data     json.RawMessage
}

// distribute carries out what the relay decided.
func (n *Node) distribute(_ time.Time, actions []blrelay.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blrelay.ActionPush:
			n.push(a)
		case blrelay.ActionAnnounce:
			n.announce(a.Peer())
		case blrelay.ActionFetch:
			n.start(&fetching{node: n, action: a, have: n.holder.Version()})
		case blrelay.ActionApply:
			// The delta is with the message that led here; see pushed.
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
	if n.encoded.data != nil && n.encoded.from == from && n.encoded.to == n.holder.Version() {
		return n.encoded.data, true
	}
	d, found := n.holder.History().DeltaFrom(from)
	if !found {
		return nil, false
	}
	data, err := blconfig.EncodeDelta(d)
	if err != nil {
		return nil, false
	}
	n.encoded = encodedDelta{from: from, to: d.To(), data: data}
	return data, true
}

// heard takes the version that a peer says it holds.
func (n *Node) heard(now time.Time, peer basillift.VMID, version, digest string, c blrelay.Cause) {
	v, err := basillift.ParseVersion(version)
	if err != nil {
		return
	}
	n.join.Answered(peer, v)
	if v == n.holder.Version() && !v.IsZero() {
		n.compareDigest(now, peer, v, digest)
	}
	n.distribute(now, n.relay.Apply(now, blrelay.Heard(peer, v, c)))
	n.considerCandidate(now)
	n.enforce(now)
}

// compareDigest notes a peer that holds other content under the same version. Which of the
// two is right only the platform can tell, so readers read it again.
func (n *Node) compareDigest(now time.Time, peer basillift.VMID, v basillift.Version, digest string) {
	theirs, err := parseDigest(digest)
	if err != nil {
		return
	}
	_, known := n.holder.Conflict()
	if n.holder.Observe(now, v, theirs) != blconfig.DecisionConflict || known {
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(v, theirs).WithTarget(peer).
		WithDetail("peer holds other content under the version in force"))
	n.settle(now)
}

// settle looks for the right content of a version that was seen with two. A reader reads
// the platform again; another daemon takes the full version from a reader.
func (n *Node) settle(now time.Time) {
	if _, found := n.holder.Conflict(); !found || now.Sub(n.settling) < settleInterval {
		return
	}
	n.settling = now
	if n.reader != nil {
		n.reader.again()
		return
	}
	self := n.members.Self()
	readers := n.members.Order().Readers(self.Place().FailureDomain())
	if len(readers) > 0 {
		n.start(&settlement{node: n, peer: readers[n.random.Intn(len(readers))]})
	}
}

type settlement struct {
	node *Node
	peer basillift.VMID
}

func (s *settlement) run(ctx context.Context) {
	n := s.node
	f := &fetching{node: n, action: blrelay.FetchAll(s.peer)}
	answer, err := f.ask(ctx)
	if err != nil || answer.Full == "" {
		return
	}
	snapshot, err := decodeFull(answer.Full)
	if err != nil {
		return
	}
	n.put(ctx, func(now time.Time) {
		if n.holder.Settle(now, snapshot) == blconfig.DecisionAdopt {
			n.adopted(now, s.peer)
		}
	})
}

// pushed takes a delta from a peer.
func (n *Node) pushed(now time.Time, peer basillift.VMID, d blconfig.Delta) {
	for _, a := range n.relay.Apply(now, blrelay.Pushed(peer, d.From(), d.To())) {
		if a.Kind() != blrelay.ActionApply {
			n.distribute(now, []blrelay.Action{a})
			continue
		}
		n.applyDelta(now, peer, d)
	}
}

func (n *Node) applyDelta(now time.Time, peer basillift.VMID, d blconfig.Delta) {
	decision, err := n.holder.OfferDelta(now, d)
	if err != nil {
		n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(d.To(), d.Digest()).
			WithTarget(peer).WithDetail(err.Error()))
		n.distribute(now, n.relay.Apply(now, blrelay.Rejected(peer, d.To())))
		return
	}
	if decision == blconfig.DecisionAdopt {
		n.adopted(now, peer)
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(d.To(), d.Digest()).WithTarget(peer))
}

// offered takes a full snapshot from a peer.
func (n *Node) offered(now time.Time, peer basillift.VMID, s *blconfig.Snapshot) {
	if n.holder.Offer(now, s) == blconfig.DecisionAdopt {
		n.adopted(now, peer)
		return
	}
	n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(s.Version(), s.Digest()).WithTarget(peer))
}

// adopted puts the held version in force and passes it on.
func (n *Node) adopted(now time.Time, peer basillift.VMID) {
	n.enforce(now)
	n.clearRefusal(n.holder.Version())
	n.publishAnswers()
	if n.reader != nil {
		n.reader.adopted(n.holder.Version())
	}
	n.distribute(now, n.relay.Apply(now, blrelay.Adopted(peer, n.holder.Version())))
}

// enforce puts the held version in force once the daemon may serve calls.
func (n *Node) enforce(now time.Time) {
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

// considerCandidate adopts the version that the platform gave while the daemon was still
// asking its peers.
func (n *Node) considerCandidate(now time.Time) {
	s := n.candidate
	if s == nil || !n.join.MayAdoptFromPlatform(now, s.Version()) {
		return
	}
	n.candidate = nil
	n.read(now, s)
}

// read takes a version from the platform.
func (n *Node) read(now time.Time, s *blconfig.Snapshot) {
	if !n.join.MayAdoptFromPlatform(now, s.Version()) {
		n.candidate = s
		return
	}
	if s.Version().NewerThan(n.holder.Version()) {
		n.record(basillift.NewEvent(now, basillift.EventVersionSeen).WithVersion(s.Version(), s.Digest()))
	}
	switch n.holder.Settle(now, s) {
	case blconfig.DecisionAdopt:
		n.adopted(now, "")
	case blconfig.DecisionEqual:
	default:
		n.record(basillift.NewEvent(now, basillift.EventVersionIgnored).WithVersion(s.Version(), s.Digest()))
	}
}

// fetching asks one peer for everything newer than the held version.
type fetching struct {
	node   *Node
	action blrelay.Action
	have   basillift.Version
}

func (f *fetching) run(ctx context.Context) {
	n, peer := f.node, f.action.Peer()
	answer, err := f.ask(ctx)
	if err != nil {
		n.put(ctx, func(now time.Time) {
			n.join.Unreachable(peer)
			n.distribute(now, n.relay.Apply(now, blrelay.FetchFailed(peer, 0)))
		})
		return
	}
	if answer.Retry > 0 {
		wait := time.Duration(answer.Retry) * time.Millisecond
		n.put(ctx, func(now time.Time) { n.distribute(now, n.relay.Apply(now, blrelay.FetchFailed(peer, wait))) })
		return
	}
	taken, err := f.decode(answer)
	if err != nil {
		n.put(ctx, func(now time.Time) {
			n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(f.action.Version(), 0).
				WithTarget(peer).WithDetail(err.Error()))
			n.distribute(now, n.relay.Apply(now, blrelay.Rejected(peer, f.action.Version())))
		})
		return
	}
	n.put(ctx, func(now time.Time) {
		taken(now)
		n.distribute(now, n.relay.Apply(now, blrelay.Fetched(peer)))
	})
}

func (f *fetching) ask(ctx context.Context) (blrpc.Fetched, error) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	question := blrpc.Fetch{Have: f.have.String(), Full: f.action.Full()}
	if c := f.action.Cause(); c == blrelay.CauseProbe || c == blrelay.CauseCall {
		question.Cause = blrpc.CauseRepair
	}
	var answer blrpc.Fetched
	if err := f.node.pool.Call(limited, f.action.Peer(), blrpc.MethodFetch, question, &answer); err != nil {
		return answer, fmt.Errorf("fetch: %w", err)
	}
	return answer, nil
}

// decode checks an answer outside the control loop, since a full snapshot takes some
// milliseconds, and returns the step that offers it.
func (f *fetching) decode(answer blrpc.Fetched) (step, error) {
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
	return func(now time.Time) { n.offered(now, peer, s) }, nil
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
