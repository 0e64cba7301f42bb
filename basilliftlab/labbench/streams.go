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
	// streamCalls is the number of calls on each connection, enough to fill the windows.
	streamCalls = 40
	// streamMessage is the size of one answer in bytes.
	streamMessage = 4 << 10
)

// streams measures what one connection between two daemons holds: one daemon calls a
// number of others, and each connection has two ends in this process.
type streams struct {
	options Options
	shape   shape
	sample  Sample
	report  *progress
	tasks   sync.WaitGroup
}

func (t *streams) run(ctx context.Context) (Sample, error) {
	before, err := usageNow(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer t.tasks.Wait()
	defer cancel()
	var hub *streamEnd
	for i := range t.shape.daemons + 1 {
		e := newStreamEnd(t.shape, i, t.options.seed)
		l, err := listen(ctx, t.shape.address(i))
		if err != nil {
			return t.sample, err
		}
		t.tasks.Go(func() { e.pool.Run(ctx, l) })
		if i == 0 {
			hub = e
		}
	}
	for range streamCalls {
		for i := range t.shape.daemons {
			var answer string
			if err := hub.pool.Call(ctx, t.shape.id(i+1), blrpc.MethodFetch, blrpc.Fetch{}, &answer); err != nil {
				return t.sample, fmt.Errorf("call: %w", err)
			}
		}
	}
	for range stepsOfTrial {
		t.report.step()
	}
	return t.sample, t.held(before)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Each connection has an end in the hub and one in its peer.
const ends = 2

func (t *streams) held(before usage) error {
	after, err := usageNow(time.Now(), true)
	if err != nil {
		return err
	}
	t.sample.load = loadAverage()
	t.sample.figures["stream.heap"] = (after.heap - before.heap) / ends
	t.sample.figures["stream.resident"] = (after.resident - before.resident) / ends
	t.sample.figures["stream.goroutines"] = float64(after.goroutines-before.goroutines) / ends
	return nil
}

// streamEnd is a daemon that only answers calls.
type streamEnd struct {
	id     basillift.VMID
	random *rand.Rand
	mutex  sync.Mutex
	pool   *blrpc.Pool
}

func newStreamEnd(s shape, i int, seed int64) *streamEnd {
	e := &streamEnd{id: s.id(i), random: rand.New(rand.NewSource(seed + int64(i)))}
	addresses := map[basillift.VMID]string{}
	for j := range s.daemons + 1 {
		addresses[s.id(j)] = s.address(j)
	}
	e.pool = blrpc.NewPool(e.id, e, func(id basillift.VMID) (string, bool) {
		a, found := addresses[id]
		return a, found
	}, seed)
	e.pool.Handle(blrpc.MethodFetch, e.answer)
	return e
}

// answer gives text that does not compress to nothing.
func (e *streamEnd) answer(context.Context, basillift.VMID, json.RawMessage) (any, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	text := make([]byte, streamMessage)
	for i := range text {
		text[i] = byte('a' + e.random.Intn(26))
	}
	return string(text), nil
}

// Hello gives what opens each connection.
func (e *streamEnd) Hello() blrpc.Hello {
	return blrpc.Hello{Record: blrpc.Record{Name: string(e.id)}, Version: "0.0", Digest: "0"}
}

// PeerConnected ignores the hello of a peer.
func (e *streamEnd) PeerConnected(blrpc.Hello) {}

// PeerDisconnected ignores the end of the last connection to a peer.
func (e *streamEnd) PeerDisconnected(basillift.VMID) {}
