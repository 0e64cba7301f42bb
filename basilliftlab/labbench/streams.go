package labbench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blrpc"
)

const (
	// callsPerConnection is enough to fill the windows of the compressed streams.
	callsPerConnection = 40
	answerBytes        = 4 << 10
)

// streamTrial measures the memory and goroutines of one end of a connection between two
// daemons. One daemon calls a number of others, and both ends of each connection are in this
// process.
type streamTrial struct {
	options  Options
	shape    shape
	sample   Sample
	progress *progress
	tasks    sync.WaitGroup
}

func (t *streamTrial) run(ctx context.Context) (Sample, error) {
	before, err := readUsage(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer t.tasks.Wait()
	defer cancel()
	var hub *rpcPeer
	for i := range t.shape.daemons + 1 {
		p := newRPCPeer(t.shape, i, t.options.seed)
		l, err := listen(ctx, t.shape.address(i))
		if err != nil {
			return t.sample, err
		}
		t.tasks.Go(func() { p.pool.Run(ctx, l) })
		if i == 0 {
			hub = p
		}
	}
	for range callsPerConnection {
		for i := range t.shape.daemons {
			var answer string
			if err := hub.pool.Call(ctx, t.shape.id(i+1), blrpc.MethodFetch, blrpc.Fetch{}, &answer); err != nil {
				return t.sample, fmt.Errorf("call: %w", err)
			}
		}
	}
	for range stepsPerTrial {
		t.progress.step()
	}
	return t.sample, t.measureHeld(before)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// endsPerConnection counts the end in the hub and the end in its peer.
const endsPerConnection = 2

func (t *streamTrial) measureHeld(before processUsage) error {
	after, err := readUsage(time.Now(), true)
	if err != nil {
		return err
	}
	t.sample.loadAverage = loadAverage()
	t.sample.figures["stream.heap"] = (after.heapBytes - before.heapBytes) / endsPerConnection
	t.sample.figures["stream.resident"] = (after.residentBytes - before.residentBytes) / endsPerConnection
	t.sample.figures["stream.goroutines"] = float64(after.goroutines-before.goroutines) / endsPerConnection
	return nil
}

// rpcPeer is a daemon that only answers calls.
type rpcPeer struct {
	id     basillift.VMID
	random *rand.Rand
	mutex  sync.Mutex
	pool   *blrpc.Pool
}

func newRPCPeer(s shape, i int, seed int64) *rpcPeer {
	p := &rpcPeer{id: s.id(i), random: rand.New(rand.NewSource(seed + int64(i)))}
	addresses := map[basillift.VMID]string{}
	for j := range s.daemons + 1 {
		addresses[s.id(j)] = s.address(j)
	}
	p.pool = blrpc.NewPool(p.id, p, func(id basillift.VMID) (string, bool) {
		a, found := addresses[id]
		return a, found
	}, seed)
	p.pool.Handle(blrpc.MethodFetch, p.serveFetch)
	return p
}

// serveFetch returns random letters, so that the answer does not compress to almost nothing.
func (p *rpcPeer) serveFetch(context.Context, basillift.VMID, json.RawMessage) (any, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	text := make([]byte, answerBytes)
	for i := range text {
		text[i] = byte('a' + p.random.Intn(26))
	}
	return string(text), nil
}

// Hello returns the message that opens each connection; it implements blrpc.PeerObserver.
func (p *rpcPeer) Hello() blrpc.Hello {
	return blrpc.Hello{Record: blrpc.Record{Name: string(p.id)}, Version: "0.0", Digest: "0"}
}

// PeerConnected ignores the hello of a peer.
func (p *rpcPeer) PeerConnected(blrpc.Hello) {}

// PeerDisconnected ignores the end of the last connection to a peer.
func (p *rpcPeer) PeerDisconnected(basillift.VMID) {}
