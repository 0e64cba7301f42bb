package blrpc

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"basillift.dev/basillift"
)

const (
	// maxConcurrentCalls is the maximum number of calls on one connection that are handled
	// at the same time.
	maxConcurrentCalls = 64
	// helloTimeout is the deadline for connecting and for the hello call together.
	helloTimeout = time.Second
	// codeBusy is the error code for a call above maxConcurrentCalls.
	codeBusy = -32001
	// codeUnavailable is the error code for a call whose handler failed.
	codeUnavailable = -32002
)

// link is one connection, during or after its hello call.
type link struct {
	pool    *Pool
	stream  *stream
	conn    *jsonrpc2.Conn
	peer    atomic.Pointer[basillift.VMID]
	dialled bool
	// lastUsed is the Unix time in nanoseconds.
	lastUsed atomic.Int64
	// calls is the number of calls to the peer in progress. running has one element for each call
	// or notification from the peer that a Handler is handling.
	calls   atomic.Int64
	running chan struct{}
	// ready is closed once conn is set. It is needed because jsonrpc2 starts to read before
	// its constructor returns.
	ready chan struct{}
	// identified is closed once peer is set.
	identified   chan struct{}
	identifyOnce sync.Once

	// mutex guards purposes, which holds the purposes of calls from the peer that are not
	// answered yet.
	mutex    sync.Mutex
	purposes map[jsonrpc2.ID]basillift.Purpose
	// sendPurpose is the purpose of the object that is written next.
	sendPurpose basillift.Purpose
	// attributedBytes is how many of the received bytes have been counted for a purpose.
	attributedBytes uint64
}

type noopLogger struct{}

func (noopLogger) Printf(string, ...any) {}

func (p *Pool) newLink(ctx context.Context, socket net.Conn, dialled bool) (*link, error) {
	s, err := newStream(socket)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	l := &link{
		pool: p, stream: s, dialled: dialled, running: make(chan struct{}, maxConcurrentCalls),
		purposes: map[jsonrpc2.ID]basillift.Purpose{}, ready: make(chan struct{}), identified: make(chan struct{}),
	}
	l.updateLastUsed()
	l.conn = jsonrpc2.NewConn(ctx, &meteredStream{link: l}, l,
		jsonrpc2.SetLogger(noopLogger{}), jsonrpc2.OnSend(l.onSend), jsonrpc2.OnRecv(l.onReceive))
	close(l.ready)
	return l, nil
}

// meteredStream attributes the bytes of each written object to the purpose that onSend has
// set. jsonrpc2 calls both under the same lock.
type meteredStream struct{ link *link }

func (m *meteredStream) WriteObject(v any) error {
	l := m.link
	before := l.stream.socket.written
	err := l.stream.WriteObject(v)
	l.pool.counters.sent[purposeIndex(l.sendPurpose)].Add(l.stream.socket.written - before)
	l.updateLastUsed()
	return err
}

func (m *meteredStream) ReadObject(v any) error { return m.link.stream.ReadObject(v) }

func (m *meteredStream) Close() error { return m.link.stream.Close() }

func (l *link) updateLastUsed() { l.lastUsed.Store(l.pool.clock().UnixNano()) }

func (l *link) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if request != nil {
		l.sendPurpose = purposeOf(request.Method, request.Params)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sendPurpose = l.purposes[response.ID]
	delete(l.purposes, response.ID)
}

func (l *link) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	l.updateLastUsed()
	// For a response, request is the call that it belongs to, or nil if that is no longer pending.
	purpose := basillift.PurposeRepair
	if request != nil {
		purpose = purposeOf(request.Method, request.Params)
	}
	if request != nil && response == nil && !request.Notif {
		l.mutex.Lock()
		l.purposes[request.ID] = purpose
		l.mutex.Unlock()
	}
	consumed := l.stream.reader.consumed
	l.pool.counters.received[purposeIndex(purpose)].Add(consumed - l.attributedBytes)
	l.attributedBytes = consumed
}

// Handle processes one request; it implements jsonrpc2.Handler. It runs in the read loop of
// the connection and therefore never waits for a response from the peer.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-l.ready
	if request.Method == MethodHello {
		l.answerHello(ctx, request)
		return
	}
	from := l.waitSender(ctx)
	if from == nil {
		l.close()
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if inOrder, found := l.pool.orderedHandlers[request.Method]; found && request.Notif {
		inOrder(*from, params)
		return
	}
	handler, found := l.pool.handlers[request.Method]
	if !found {
		l.replyError(ctx, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	select {
	case l.running <- struct{}{}:
		go (&inboundCall{link: l, from: *from, request: request, params: params, handler: handler}).run(ctx)
	default:
		l.replyError(ctx, request, codeBusy, "too many calls")
	}
}

// waitSender returns the peer of this connection, or nil if it has not sent a hello. On a
// dialled connection it waits for up to helloTimeout: the peer may send requests as soon as
// it has answered the hello call, before that response has reached the goroutine that waits
// for it.
func (l *link) waitSender(ctx context.Context) *basillift.VMID {
	if from := l.peer.Load(); from != nil || !l.dialled {
		return from
	}
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-l.identified:
	case <-l.conn.DisconnectNotify():
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.peer.Load()
}

func (l *link) replyError(ctx context.Context, request *jsonrpc2.Request, code int64, text string) {
	if request.Notif {
		return
	}
	_ = l.conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: text})
}

func (l *link) answerHello(ctx context.Context, request *jsonrpc2.Request) {
	var peerHello Hello
	if request.Params == nil || json.Unmarshal(*request.Params, &peerHello) != nil || peerHello.Record.Name == "" {
		l.close()
		return
	}
	if err := l.conn.Reply(ctx, request.ID, l.pool.observer.Hello()); err != nil {
		l.close()
		return
	}
	l.register(peerHello)
}

func (l *link) register(peerHello Hello) {
	id := basillift.VMID(peerHello.Record.Name)
	l.peer.Store(&id)
	l.identifyOnce.Do(func() { close(l.identified) })
	l.pool.add(id, l)
	if l.closed() {
		l.pool.remove(id, l)
		return
	}
	l.pool.observer.PeerConnected(peerHello)
}

// hello sends the first call on a dialled connection and returns the peer's hello.
func (l *link) hello(ctx context.Context) (Hello, error) {
	var peerHello Hello
	if err := l.conn.Call(ctx, MethodHello, l.pool.observer.Hello(), &peerHello); err != nil {
		return Hello{}, fmt.Errorf("call hello: %w", err)
	}
	if peerHello.Record.Name == "" {
		return Hello{}, fmt.Errorf("call hello: record without name: %w", basillift.ErrRefused)
	}
	return peerHello, nil
}

func (l *link) close() { _ = l.conn.Close() }

// busy reports whether a call is in progress in either direction.
func (l *link) busy() bool { return l.calls.Load() > 0 || len(l.running) > 0 }

func (l *link) closed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// run waits until the connection is closed and removes it from the pool.
func (l *link) run() {
	<-l.conn.DisconnectNotify()
	if id := l.peer.Load(); id != nil {
		l.pool.remove(*id, l)
	}
	l.pool.untrack(l)
}

// inboundCall is a call or notification from the peer that is being handled.
type inboundCall struct {
	link    *link
	from    basillift.VMID
	request *jsonrpc2.Request
	params  json.RawMessage
	handler Handler
}

func (ic *inboundCall) run(ctx context.Context) {
	defer func() { <-ic.link.running }()
	result, err := ic.handler(ctx, ic.from, ic.params)
	if ic.request.Notif {
		return
	}
	if err != nil {
		ic.link.replyError(ctx, ic.request, codeUnavailable, err.Error())
		return
	}
	if err := ic.link.conn.Reply(ctx, ic.request.ID, result); err != nil {
		ic.link.close()
	}
}
