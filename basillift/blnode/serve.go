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

// limiter guards the bound of full transfers for the goroutines that serve them.
type limiter struct {
	mutex     sync.Mutex
	transfers *blrelay.Transfers
}

func (l *limiter) begin() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.transfers.Begin()
}

func (l *limiter) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.transfers.End()
}

func (n *Node) register() {
	n.pool.Handle(blrpc.MethodProbe, n.serveProbe)
	n.pool.Handle(blrpc.MethodIndirect, n.serveIndirect)
	n.pool.Handle(blrpc.MethodFetch, n.serveFetch)
	n.pool.Handle(blrpc.MethodExchange, n.serveExchange)
	n.pool.HandleInOrder(blrpc.MethodPush, n.takePush)
	n.pool.HandleInOrder(blrpc.MethodAnnounce, n.takeAnnounce)
	n.pool.HandleInOrder(blrpc.MethodRecords, n.takeRecords)
}

// Hello gives what opens each connection.
func (n *Node) Hello() blrpc.Hello { return *n.hello.Load() }

// Met takes the hello of a peer.
func (n *Node) Met(theirs blrpc.Hello) {
	peer := basillift.VMID(theirs.Record.Name)
	m, ok := decodeMember(theirs.Record)
	if !ok {
		return
	}
	n.put(n.ctx, func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.Received(peer, []basillift.Member{m}, nil)))
		n.perform(now, n.members.Apply(now, blmember.Contacted(peer)))
		n.heard(now, peer, theirs.Version, theirs.Digest, blrelay.CauseJoin)
	})
}

// Lost takes the end of the last connection to a peer.
func (n *Node) Lost(peer basillift.VMID) {
	n.offer(func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.Disconnected(peer)))
		n.distribute(now, n.relay.Apply(now, blrelay.Lost(peer)))
	})
}

func (n *Node) serveProbe(_ context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	theirs, err := decode[blrpc.Probe](params)
	if err != nil {
		return nil, err
	}
	n.offer(func(now time.Time) {
		n.perform(now, n.members.Apply(now, blmember.Contacted(from)))
		n.heard(now, from, theirs.Version, theirs.Digest, blrelay.CauseProbe)
	})
	return n.probe.Load(), nil
}

func (n *Node) serveIndirect(ctx context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	question, err := decode[blrpc.Indirect](params)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout*3/4)
	defer cancel()
	var answer blrpc.Probe
	err = n.pool.Call(limited, basillift.VMID(question.Name), blrpc.MethodProbe, n.probe.Load(), &answer)
	return blrpc.Reached{Reached: err == nil}, nil
}

// stock is what the control loop gives to a fetch.
type stock struct {
	delta    json.RawMessage
	snapshot *blconfig.Snapshot
}

func (n *Node) serveFetch(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	question, err := decode[blrpc.Fetch](params)
	if err != nil {
		return nil, err
	}
	have, err := basillift.ParseVersion(question.Have)
	if err != nil {
		return nil, fmt.Errorf("fetch: %w", err)
	}
	got, ok := ask(ctx, n, func(now time.Time) stock {
		n.distribute(now, n.relay.Apply(now, blrelay.Requested(from, have)))
		s := stock{snapshot: n.holder.Current()}
		if !question.Full {
			s.delta, _ = n.delta(have)
		}
		return s
	})
	if !ok || got.snapshot == nil || !got.snapshot.Version().NewerThan(have) {
		return nil, fmt.Errorf("fetch: nothing newer than %s: %w", have, basillift.ErrUnavailable)
	}
	if got.delta != nil {
		return blrpc.Fetched{Delta: &got.delta}, nil
	}
	return n.serveFull(got.snapshot)
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
	theirs, err := decode[blrpc.Exchange](params)
	if err != nil {
		return nil, err
	}
	answer, ok := ask(ctx, n, func(now time.Time) blrpc.Exchange {
		e := blmember.Received(from, decodeMembers(theirs.Records), decodeClaims(theirs.Claims))
		n.perform(now, n.members.Apply(now, e))
		fd := basillift.FailureDomain(theirs.Domain)
		records, claims := n.members.Knowledge(fd)
		return encodeExchange(fd, records, claims)
	})
	if !ok {
		return nil, fmt.Errorf("exchange: %w", basillift.ErrUnavailable)
	}
	return answer, nil
}

func (n *Node) takePush(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Push](params)
	if err != nil {
		return
	}
	d, err := blconfig.DecodeDelta(message.Delta)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	n.put(n.ctx, func(now time.Time) { n.pushed(now, from, d) })
}

func (n *Node) takeAnnounce(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Announce](params)
	if err != nil {
		return
	}
	v, err := basillift.ParseVersion(message.Version)
	if err != nil {
		return
	}
	n.put(n.ctx, func(now time.Time) {
		n.distribute(now, n.relay.Apply(now, blrelay.Heard(from, v, blrelay.CauseAnnounce)))
	})
}

func (n *Node) takeRecords(from basillift.VMID, params json.RawMessage) {
	message, err := decode[blrpc.Records](params)
	if err != nil {
		return
	}
	e := blmember.Received(from, decodeMembers(message.Records), decodeClaims(message.Claims))
	n.put(n.ctx, func(now time.Time) { n.perform(now, n.members.Apply(now, e)) })
}
