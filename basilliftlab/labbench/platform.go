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

// platform is the stand-in with counts of its calls and of the bytes at its sockets.
type platform struct {
	address   string
	operators string
	readers   *labhttp.Server
	writers   *labhttp.Server
	client    *http.Client
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	ctx       context.Context

	reads atomic.Uint64
	bytes atomic.Uint64

	mutex   sync.Mutex
	seconds map[int64]int
}

// startPlatform serves readers at an address and operators at a free port beside it.
func startPlatform(ctx context.Context, address string, seed int64) (*platform, error) {
	p := &platform{address: address, client: &http.Client{Timeout: 10 * time.Second}, seconds: map[int64]int{}}
	readers, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for readers: %w", err)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = readers.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p.operators = operators.Addr().String()
	// The budget is far above the real one: the reads are counted, and a baseline that
	// exceeds the real budget is to be measured, not throttled.
	stand := labplatform.New(labplatform.NewOptions(address, p.operators).WithBudget(1_000_000).WithSeed(seed))
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.readers = labhttp.NewServer(&countingListener{Listener: readers, bytes: &p.bytes}, p.counted(stand.ReadHandler())).WithBase(p.ctx)
	p.writers = labhttp.NewServer(operators, stand.OperatorHandler())
	p.tasks.Go(p.runReaders)
	p.tasks.Go(p.runWriters)
	return p, nil
}

func (p *platform) runReaders() { _ = p.readers.Serve(p.ctx, time.Second) }

func (p *platform) runWriters() { _ = p.writers.Serve(p.ctx, time.Second) }

func (p *platform) stop() {
	p.client.CloseIdleConnections()
	p.cancel()
	p.tasks.Wait()
}

func (p *platform) url() string { return "http://" + p.address }

// counted counts each call when it arrives.
func (p *platform) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.reads.Add(1)
		p.mutex.Lock()
		p.seconds[time.Now().Unix()]++
		p.mutex.Unlock()
		next.ServeHTTP(w, r)
	})
}

// peak is the largest number of calls in one second of the clock since a time.
func (p *platform) peak(since time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	most := 0
	for s, n := range p.seconds {
		if s >= since.Unix() {
			most = max(most, n)
		}
	}
	return most
}

// write writes entries in order and returns the revision of the last one.
func (p *platform) write(ctx context.Context, entries []bllist.Entry) (uint64, error) {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.operators+"/v1/keys/"+key, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("make write: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("write %s: status %d: %w", key, response.StatusCode, errWrite)
	}
	revision, err := strconv.ParseUint(response.Header.Get(labplatform.HeaderMod), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	return revision, nil
}

// version returns the version that a revision has: the population's epoch is always 1.
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
