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
	// maxRunning bounds the calls of one peer that are answered at once.
	maxRunning = 64
	// helloTimeout bounds connecting and the first exchange.
	helloTimeout = time.Second
	// codeBusy tells the caller that the peer answers too many calls already.
	codeBusy = -32001
	// codeUnavailable tells the caller that the handler failed.
	codeUnavailable = -32002
)

// link is one connection after or during its hello.
type link struct {
	pool     *Pool
	stream   *stream
	conn     *jsonrpc2.Conn
	peer     atomic.Pointer[basillift.VMID]
	dialled  bool
	lastUsed atomic.Int64
	calls    atomic.Int64
	running  chan struct{}
	// ready is closed once conn is set: jsonrpc2 reads before its constructor returns.
	ready chan struct{}
	// named is closed once peer is set.
	named    chan struct{}
	nameOnce sync.Once

	// purposes of calls from the peer that are not answered yet.
	mutex    sync.Mutex
	purposes map[jsonrpc2.ID]basillift.Purpose
	sending  basillift.Purpose
	seen     uint64
}

type silent struct{}

func (silent) Printf(string, ...any) {}

func (p *Pool) newLink(ctx context.Context, socket net.Conn, dialled bool) (*link, error) {
	s, err := newStream(socket)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	l := &link{
		pool: p, stream: s, dialled: dialled, running: make(chan struct{}, maxRunning),
		purposes: map[jsonrpc2.ID]basillift.Purpose{}, ready: make(chan struct{}), named: make(chan struct{}),
	}
	l.touch()
	l.conn = jsonrpc2.NewConn(ctx, &meteredStream{link: l}, l,
		jsonrpc2.SetLogger(silent{}), jsonrpc2.OnSend(l.onSend), jsonrpc2.OnRecv(l.onReceive))
	close(l.ready)
	return l, nil
}

// meteredStream attributes the bytes of each written object to the purpose that onSend
// noted; jsonrpc2 calls both under the same lock.
type meteredStream struct{ link *link }

func (m *meteredStream) WriteObject(v any) error {
	l := m.link
	before := l.stream.socket.written
	err := l.stream.WriteObject(v)
	l.pool.counters.sent[purposeIndex(l.sending)].Add(l.stream.socket.written - before)
	l.touch()
	return err
}

func (m *meteredStream) ReadObject(v any) error { return m.link.stream.ReadObject(v) }

func (m *meteredStream) Close() error { return m.link.stream.Close() }

func (l *link) touch() { l.lastUsed.Store(l.pool.clock().UnixNano()) }

func (l *link) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if request != nil {
		l.sending = purposeOf(request.Method, request.Params)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sending = l.purposes[response.ID]
	delete(l.purposes, response.ID)
}

func (l *link) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	l.touch()
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
	l.pool.counters.received[purposeIndex(purpose)].Add(consumed - l.seen)
	l.seen = consumed
}

// Handle takes one request. It runs in the read loop of the connection and never waits
// for an answer of the peer.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-l.ready
	if request.Method == MethodHello {
		l.answerHello(ctx, request)
		return
	}
	from := l.sender(ctx)
	if from == nil {
		l.close()
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if inOrder, found := l.pool.ordered[request.Method]; found && request.Notif {
		inOrder(*from, params)
		return
	}
	handler, found := l.pool.handlers[request.Method]
	if !found {
		l.refuse(ctx, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	select {
	case l.running <- struct{}{}:
		go (&answer{link: l, from: *from, request: request, params: params, handler: handler}).run(ctx)
	default:
		l.refuse(ctx, request, codeBusy, "too many calls")
	}
}

// sender is the peer that sends on this connection; nil if it has not said hello. The
// peer of a dialled connection may send as soon as it has answered the hello, before
// the answer has reached the goroutine that waits for it.
func (l *link) sender(ctx context.Context) *basillift.VMID {
	if from := l.peer.Load(); from != nil || !l.dialled {
		return from
	}
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-l.named:
	case <-l.conn.DisconnectNotify():
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.peer.Load()
}

func (l *link) refuse(ctx context.Context, request *jsonrpc2.Request, code int64, text string) {
	if request.Notif {
		return
	}
	_ = l.conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: text})
}

func (l *link) answerHello(ctx context.Context, request *jsonrpc2.Request) {
	var theirs Hello
	if request.Params == nil || json.Unmarshal(*request.Params, &theirs) != nil || theirs.Record.Name == "" {
		l.close()
		return
	}
	if err := l.conn.Reply(ctx, request.ID, l.pool.greeter.Hello()); err != nil {
		l.close()
		return
	}
	l.register(theirs)
}

func (l *link) register(theirs Hello) {
	id := basillift.VMID(theirs.Record.Name)
	l.peer.Store(&id)
	l.nameOnce.Do(func() { close(l.named) })
	l.pool.add(id, l)
	if l.closed() {
		l.pool.remove(id, l)
		return
	}
	l.pool.greeter.Met(theirs)
}

// hello opens a dialled connection and returns the peer's hello.
func (l *link) hello(ctx context.Context) (Hello, error) {
	var theirs Hello
	if err := l.conn.Call(ctx, MethodHello, l.pool.greeter.Hello(), &theirs); err != nil {
		return Hello{}, fmt.Errorf("call hello: %w", err)
	}
	if theirs.Record.Name == "" {
		return Hello{}, fmt.Errorf("call hello: record without name: %w", basillift.ErrRefused)
	}
	return theirs, nil
}

func (l *link) close() { _ = l.conn.Close() }

// busy reports whether a call runs in either direction.
func (l *link) busy() bool { return l.calls.Load() > 0 || len(l.running) > 0 }

func (l *link) closed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// run waits for the end of a connection and takes it out of the pool.
func (l *link) run() {
	<-l.conn.DisconnectNotify()
	if id := l.peer.Load(); id != nil {
		l.pool.remove(*id, l)
	}
	l.pool.forget(l)
}

// answer is one call of a peer that runs.
type answer struct {
	link    *link
	from    basillift.VMID
	request *jsonrpc2.Request
	params  json.RawMessage
	handler Handler
}

func (a *answer) run(ctx context.Context) {
	defer func() { <-a.link.running }()
	result, err := a.handler(ctx, a.from, a.params)
	if a.request.Notif {
		return
	}
	if err != nil {
		a.link.refuse(ctx, a.request, codeUnavailable, err.Error())
		return
	}
	if err := a.link.conn.Reply(ctx, a.request.ID, result); err != nil {
		a.link.close()
	}
}
