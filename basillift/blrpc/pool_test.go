package blrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"basillift.dev/basillift"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeObserver struct {
	name   string
	hellos chan Hello
}

func (fo *fakeObserver) Hello() Hello {
	return Hello{Record: Record{Name: fo.name, State: "ready"}, Version: "1.1", Digest: "00"}
}

func (fo *fakeObserver) PeerConnected(hello Hello) {
	select {
	case fo.hellos <- hello:
	default:
	}
}

func (fo *fakeObserver) PeerDisconnected(basillift.VMID) {}

type fixture struct {
	addresses map[basillift.VMID]string
	pools     map[string]*Pool
	stop      func()
}

func newFixture(t testing.TB, configure func(name string, p *Pool), names ...string) *fixture {
	t.Helper()
	f := &fixture{addresses: map[basillift.VMID]string{}, pools: map[string]*Pool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	listeners := map[string]net.Listener{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = l
		f.addresses[basillift.VMID(name)] = l.Addr().String()
	}
	for i, name := range names {
		fo := &fakeObserver{name: name, hellos: make(chan Hello, 16)}
		p := NewPool(basillift.VMID(name), fo, f.resolve, int64(i))
		if configure != nil {
			configure(name, p)
		}
		f.pools[name] = p
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			p.Run(ctx, listeners[name])
		}()
	}
	for _, p := range f.pools {
		for p.runContext() == nil {
			runtime.Gosched()
		}
	}
	f.stop = func() {
		cancel()
		tasks.Wait()
	}
	return f
}

func (f *fixture) resolve(id basillift.VMID) (string, bool) {
	a, found := f.addresses[id]
	return a, found
}

func echo(_ context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	return fmt.Sprintf("%s:%s", from, params), nil
}

// Guards against responses that reach the wrong caller, and against calls that hang when the
// peer returns an error.
func TestCall(t *testing.T) {
	f := newFixture(t, func(_ string, p *Pool) {
		p.Handle("echo", echo)
		p.Handle("fail", func(context.Context, basillift.VMID, json.RawMessage) (any, error) {
			return nil, basillift.ErrUnavailable
		})
	}, "a", "b")
	defer f.stop()

	t.Run("both directions at once", func(t *testing.T) {
		is := is.New(t)
		var tasks sync.WaitGroup
		failures := make(chan string, 200)
		call := func(from, to string, n int) {
			defer tasks.Done()
			var got string
			err := f.pools[from].Call(context.Background(), basillift.VMID(to), "echo", n, &got)
			if want := fmt.Sprintf("%s:%d", from, n); err != nil || got != want {
				failures <- fmt.Sprintf("%v %q want %q", err, got, want)
			}
		}
		for i := range 50 {
			tasks.Add(2)
			go call("a", "b", i)
			go call("b", "a", i)
		}
		tasks.Wait()
		is.Equal(len(failures), 0)
	})
	t.Run("failing handler", func(t *testing.T) {
		err := f.pools["a"].Call(context.Background(), "b", "fail", 1, nil)
		is.New(t).True(err != nil && strings.Contains(err.Error(), "unavailable"))
	})
	t.Run("unknown method", func(t *testing.T) {
		is.New(t).True(f.pools["a"].Call(context.Background(), "b", "none", 1, nil) != nil)
	})
	t.Run("unknown member", func(t *testing.T) {
		err := f.pools["a"].Call(context.Background(), "c", "echo", 1, nil)
		is.New(t).True(errors.Is(err, basillift.ErrUnavailable))
	})
	t.Run("bytes are counted alike on both sides", func(t *testing.T) {
		is := is.New(t)
		a, b := f.pools["a"].Counters(), f.pools["b"].Counters()
		for _, p := range []basillift.Purpose{basillift.PurposeTarget, basillift.PurposeMembership} {
			is.True(a.Sent(p) > 0)
			// The sender counts after the write. By then, the response may already have arrived.
			for a.Sent(p) != b.Received(p) || b.Sent(p) != a.Received(p) {
				runtime.Gosched()
			}
		}
	})
}

// Guards against a frozen peer that blocks its caller: the peer accepts the connection and
// never answers.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	f := newFixture(t, nil, "a")
	defer f.stop()
	f.addresses["frozen"] = l.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err = f.pools["a"].Call(ctx, "frozen", MethodProbe, Probe{}, nil)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against calls to the wrong VM: the address of a peer now belongs to another VM.
func TestWrongPeerAtAddress(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ string, p *Pool) { p.Handle("echo", echo) }, "a", "b")
	defer f.stop()
	f.addresses["old"] = f.addresses["b"]
	err := f.pools["a"].Call(context.Background(), "old", "echo", 1, nil)
	is.True(errors.Is(err, errWrongPeer))
}

// Guards against a sender that blocks while its peer reads nothing, and against announced
// versions that are lost because the queue is full.
func TestOutboundOverflow(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil, "a")
	defer f.stop()
	for range outboundQueueSize * 3 {
		f.pools["a"].Notify("nobody", "settle", 1)
	}
	f.pools["a"].Notify("nobody", MethodAnnounce, Announce{Version: "1.9"})
	is.True(f.pools["a"].Counters().Dropped() > 0)
}

// Guards against a daemon that runs out of memory because it calls many peers. At the limit,
// the least recently used connection is closed, and never one that is in use.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	var clockOffset atomic.Int64
	f := newFixture(t, func(name string, p *Pool) {
		p.Handle("echo", echo)
		if name == "a" {
			p.maxLinks = 2
			p.clock = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
		}
	}, "a", "b", "c", "d")
	defer f.stop()
	call := func(to basillift.VMID) error { return f.pools["a"].Call(context.Background(), to, "echo", 1, nil) }
	is.NoErr(call("b"))
	is.NoErr(call("c"))
	f.pools["a"].peer("b").current().calls.Add(1)
	f.pools["a"].peer("c").current().calls.Add(1)
	clockOffset.Store(int64(minEvictIdle))
	is.True(errors.Is(call("d"), basillift.ErrUnavailable))
	f.pools["a"].peer("b").current().calls.Add(-1)
	f.pools["a"].peer("c").current().calls.Add(-1)
	clockOffset.Store(int64(2 * minEvictIdle))
	is.NoErr(call("c"))
	is.NoErr(call("d"))
	is.True(f.pools["a"].peer("b").current() == nil)
	is.True(f.pools["a"].peer("c").current() != nil)
}

// Guards against a memory leak: the peer's list of connections must not reference closed ones.
func TestRemovedLinkIsFreed(t *testing.T) {
	is := is.New(t)
	pr := newPeer(NewPool("a", &fakeObserver{name: "a"}, nil, 1), "b")
	l := &link{}
	pr.add(l)
	is.True(pr.remove(l))
	is.True(!pr.remove(l))
	for _, o := range pr.links[:cap(pr.links)] {
		is.True(o == nil)
	}
}

// Guards against messages that exhaust memory: a length above the limit and an invalid stream
// must both end the connection with an error.
func TestStreamBounds(t *testing.T) {
	open := func(t *testing.T) (*stream, *stream, func()) {
		t.Helper()
		x, y := net.Pipe()
		a, err := newStream(x)
		is.New(t).NoErr(err)
		b, err := newStream(y)
		is.New(t).NoErr(err)
		return a, b, func() { _ = x.Close(); _ = y.Close() }
	}
	t.Run("too long", func(t *testing.T) {
		a, b, done := open(t)
		defer done()
		go func() {
			_, _ = a.encoder.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
			_ = a.encoder.Flush()
			_ = a.buffer.Flush()
		}()
		var v any
		is.New(t).True(errors.Is(b.ReadObject(&v), errMessageSize))
	})
	t.Run("not compressed", func(t *testing.T) {
		a, b, done := open(t)
		defer done()
		go func() { _, _ = a.socket.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
		var v any
		is.New(t).True(b.ReadObject(&v) != nil)
	})
}
