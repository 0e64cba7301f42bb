package blnode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// transferLimiter limits the number of concurrent full transfers. It is safe for concurrent
// use, unlike blrelay.Transfers.
type transferLimiter struct {
	mutex     sync.Mutex
	transfers *blrelay.Transfers
}

func (l *transferLimiter) begin() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.transfers.Begin()
}

func (l *transferLimiter) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.transfers.End()
}

func (n *Node) registerHandlers() {
	n.pool.Handle(blrpc.MethodProbe, n.serveProbe)
	n.pool.Handle(blrpc.MethodIndirect, n.serveIndirect)
	n.pool.Handle(blrpc.MethodFetch, n.serveFetch)
	n.pool.Handle(blrpc.MethodExchange, n.serveExchange)
	n.pool.HandleInOrder(blrpc.MethodPush, n.handlePush)
	n.pool.HandleInOrder(blrpc.MethodAnnounce, n.handleAnnounce)
	n.pool.HandleInOrder(blrpc.MethodRecords, n.handleRecords)
}

// Hello returns the message that opens each connection; it implements blrpc.PeerObserver.
func (n *Node) Hello() blrpc.Hello { return *n.hello.Load() }

// PeerConnected processes the hello of a peer that has connected. A hello with an invalid
// record is ignored.
func (n *Node) PeerConnected(hello blrpc.Hello) {
	peer := basillift.VMID(hello.Record.Name)
	m, ok := decodeMember(hello.Record)
	if !ok {
		return
	}
	n.put(n.ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.Received(peer, []basillift.Member{m}, nil)))
		n.performMemberActions(now, n.members.Apply(now, blmember.Contacted(peer)))
		n.observePeerVersion(now, peer, hello.Version, hello.Digest, blrelay.CauseJoin)
	})
}

// PeerDisconnected reports that the last connection to a peer has been closed.
func (n *Node) PeerDisconnected(peer basillift.VMID) {
	n.offer(func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.Disconnected(peer)))
		n.performRelayActions(now, n.relay.Apply(now, blrelay.Disconnected(peer)))
	})
}

func (n *Node) serveProbe(_ context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	request, err := decode[blrpc.Probe](params)
	if err != nil {
		return nil, err
	}
	n.offer(func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.Contacted(from)))
		n.observePeerVersion(now, from, request.Version, request.Digest, blrelay.CauseProbe)
	})
	return n.probe.Load(), nil
}

func (n *Node) serveIndirect(ctx context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	request, err := decode[blrpc.Indirect](params)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout*3/4)
	defer cancel()
	var answer blrpc.Probe
	err = n.pool.Call(callCtx, basillift.VMID(request.Name), blrpc.MethodProbe, n.probe.Load(), &answer)
	return blrpc.Reached{Reached: err == nil}, nil
}

// fetchContent is the part of the state that answers a fetch. The delta is nil if only the
// full snapshot can be sent.
type fetchContent struct {
	delta    json.RawMessage
	snapshot *blconfig.Snapshot
}

func (n *Node) serveFetch(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	request, err := decode[blrpc.Fetch](params)
	if err != nil {
		return nil, err
	}
	have, err := basillift.ParseVersion(request.Have)
	if err != nil {
		return nil, fmt.Errorf("fetch: %w", err)
	}
	content, ok := ask(ctx, n, func(now time.Time) fetchContent {
		n.performRelayActions(now, n.relay.Apply(now, blrelay.Requested(from, have)))
		c := fetchContent{snapshot: n.holder.Current()}
		if !request.Full {
			c.delta, _ = n.delta(have)
		}
		return c
	})
	if !ok || content.snapshot == nil || !content.snapshot.Version().NewerThan(have) {
		return nil, fmt.Errorf("fetch: nothing newer than %s: %w", have, basillift.ErrUnavailable)
	}
	if content.delta != nil {
		return blrpc.Fetched{Delta: &content.delta}, nil
	}
	return n.serveFull(content.snapshot)
}

func (n *Node) serveFull(s *blconfig.Snapshot) (any, error) {
	retry, ok := n.transfers.begin()
	if !ok {
		return blrpc.Fetched{Retry: int(retry.Milliseconds())}, nil
	}
	defer n.transfers.end()
	data, err := blconfig.EncodeFull(s)
	if err != nil {
		return nil, fmt.Errorf("fetch: %w", err)
	}
	return blrpc.Fetched{Full: base64.StdEncoding.EncodeToString(data)}, nil
}

func (n *Node) serveExchange(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	request, err := decode[blrpc.Exchange](params)
	if err != nil {
		return nil, err
	}
	answer, ok := ask(ctx, n, func(now time.Time) blrpc.Exchange {
		e := blmember.Received(from, decodeMembers(request.Records), decodeAssertions(request.Claims))
		n.performMemberActions(now, n.members.Apply(now, e))
		fd := basillift.FailureDomain(request.Domain)
		records, assertions := n.members.Snapshot(fd)
		return encodeExchange(fd, records, assertions)
	})
	if !ok {
		return nil, fmt.Errorf("exchange: %w", basillift.ErrUnavailable)
	}
	return answer, nil
}

func (n *Node) handlePush(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Push](params)
	if err != nil {
		return
	}
	d, err := blconfig.DecodeDelta(message.Delta)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	n.put(n.ctx, func(now time.Time) { n.handlePushedDelta(now, from, d) })
}

func (n *Node) handleAnnounce(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Announce](params)
	if err != nil {
		return
	}
	v, err := basillift.ParseVersion(message.Version)
	if err != nil {
		return
	}
	n.put(n.ctx, func(now time.Time) {
		n.performRelayActions(now, n.relay.Apply(now, blrelay.VersionObserved(from, v, blrelay.CauseAnnounce)))
	})
}

func (n *Node) handleRecords(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Records](params)
	if err != nil {
		return
	}
	e := blmember.Received(from, decodeMembers(message.Records), decodeAssertions(message.Claims))
	n.put(n.ctx, func(now time.Time) { n.performMemberActions(now, n.members.Apply(now, e)) })
}
