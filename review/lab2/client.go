package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	sent   time.Time
	took   time.Duration
	route  string
	daemon string
	id     string
	// status is 0 without an answer.
	status int
}

// load is a group of clients at one daemon. They send GET requests at a constant rate over kept connections.
type load struct {
	world    *world
	daemon   *daemon
	host     string
	path     string
	route    string
	perS     float64
	deadline time.Duration
	client   *http.Client

	mutex   sync.Mutex
	answers []answer
	pending sync.WaitGroup
	cancel  context.CancelFunc
	done    chan struct{}
}

func (w *world) startLoad(d *daemon, route, host, path string, perS float64, deadline time.Duration) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		world: w, daemon: d, host: host, path: path, route: route, perS: perS, deadline: deadline, cancel: cancel, done: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}},
	}
	w.loads = append(w.loads, l)
	go l.run(ctx)
	return l
}

func (l *load) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.perS))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.pending.Add(1)
			go l.send(n)
		}
	}
}

// stop sends nothing more and waits for the answers.
func (l *load) stop() []answer {
	l.cancel()
	<-l.done
	l.pending.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.answers
}

func (l *load) send(n int) {
	defer l.pending.Done()
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	a := answer{sent: time.Now(), route: l.route, daemon: l.daemon.name, id: fmt.Sprintf("%016x", rand.Uint64())}
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%sitem-%d", l.daemon.outbound, l.path, n), nil)
	r.Host = l.host
	r.Header.Set("X-Basillift-Request-Id", a.id)
	r.Header.Set("X-Basillift-Deadline-Ms", fmt.Sprint(l.deadline.Milliseconds()))
	l.world.note("client at %s sends %s GET %s%s", l.daemon.name, a.id, l.path, fmt.Sprintf("item-%d", n))
	response, err := l.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		a.status = response.StatusCode
	}
	a.took = time.Since(a.sent)
	l.world.note("client at %s gets %s status %d after %d ms", l.daemon.name, a.id, a.status, a.took.Milliseconds())
	l.mutex.Lock()
	l.answers = append(l.answers, a)
	l.mutex.Unlock()
}
