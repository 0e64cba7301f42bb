package labbench

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basilliftlab/labhttp"
	"basillift.dev/basilliftlab/labplatform"
)

var errWrite = eris.New("platform refused a write")

// platform is the platform's stand-in. It counts the calls of readers and the bytes at their
// sockets.
type platform struct {
	address         string
	operatorAddress string
	readServer      *labhttp.Server
	operatorServer  *labhttp.Server
	client          *http.Client
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	ctx             context.Context

	calls atomic.Uint64
	bytes atomic.Uint64

	mutex         sync.Mutex
	callsBySecond map[int64]int
}

// startPlatform serves readers at an address and operators at a free port of 127.0.0.1.
func startPlatform(ctx context.Context, address string, seed int64) (*platform, error) {
	p := &platform{address: address, client: &http.Client{Timeout: 10 * time.Second}, callsBySecond: map[int64]int{}}
	readers, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for readers: %w", err)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = readers.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p.operatorAddress = operators.Addr().String()
	// The budget is far above the real one. The bench counts the calls itself, and a baseline
	// that exceeds the real budget must be measured and not throttled.
	server := labplatform.New(labplatform.NewOptions(address, p.operatorAddress).WithBudget(1_000_000).WithSeed(seed))
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.readServer = labhttp.NewServer(&countingListener{Listener: readers, bytes: &p.bytes}, p.countCalls(server.ReadHandler())).WithBase(p.ctx)
	p.operatorServer = labhttp.NewServer(operators, server.OperatorHandler())
	p.tasks.Go(p.runReadServer)
	p.tasks.Go(p.runOperatorServer)
	return p, nil
}

func (p *platform) runReadServer() { _ = p.readServer.Serve(p.ctx, time.Second) }

func (p *platform) runOperatorServer() { _ = p.operatorServer.Serve(p.ctx, time.Second) }

func (p *platform) stop() {
	p.client.CloseIdleConnections()
	p.cancel()
	p.tasks.Wait()
}

func (p *platform) url() string { return "http://" + p.address }

// countCalls counts each call when it arrives.
func (p *platform) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		p.mutex.Lock()
		p.callsBySecond[time.Now().Unix()]++
		p.mutex.Unlock()
		next.ServeHTTP(w, r)
	})
}

// peakCallsPerSecond returns the largest number of calls in one second of the wall clock since
// a time.
func (p *platform) peakCallsPerSecond(since time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	largest := 0
	for s, n := range p.callsBySecond {
		if s >= since.Unix() {
			largest = max(largest, n)
		}
	}
	return largest
}

// writeEntries writes entries in order and returns the revision of the last one.
func (p *platform) writeEntries(ctx context.Context, entries []bllist.Entry) (uint64, error) {
	revision := uint64(0)
	for _, e := range entries {
		r, err := p.put(ctx, e.Key(), e.Data())
		if err != nil {
			return 0, err
		}
		revision = r
	}
	return revision, nil
}

func (p *platform) put(ctx context.Context, key string, data []byte) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.operatorAddress+"/v1/keys/"+key, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("write %s: status %d: %w", key, response.StatusCode, errWrite)
	}
	revision, err := strconv.ParseUint(response.Header.Get(labplatform.HeaderModRevision), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	return revision, nil
}

// version returns the version of a revision. The epoch of the population is always 1.
func version(revision uint64) basillift.Version { return basillift.NewVersion(1, revision) }

// countingListener counts the bytes of all accepted connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http compares this error
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err //nolint:wrapcheck // a transparent layer
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err //nolint:wrapcheck // a transparent layer
}
