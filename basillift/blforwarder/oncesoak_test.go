package blforwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	onceSoakDaemons    = 4
	onceSoakClients    = 8
	onceSoakOperations = 40
	// onceSoakAttempts is how often a client sends an operation, each time with another id.
	onceSoakAttempts = 3
	// onceSoakGrace is the time for a stop.
	onceSoakGrace = 150 * time.Millisecond
)

// runLedger counts what the targets have run.
type runLedger struct {
	mutex       sync.Mutex
	random      *rand.Rand
	byOperation map[string]int
	byRequest   map[string]int
}

func newRunLedger(seed int64) *runLedger {
	return &runLedger{random: rand.New(rand.NewSource(seed)), byOperation: map[string]int{}, byRequest: map[string]int{}}
}

func (l *runLedger) record(r *http.Request, body []byte) {
	operation, _, _ := strings.Cut(string(body), "\n")
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.byOperation[operation]++
	l.byRequest[r.Header.Get("X-Id")]++
}

func (l *runLedger) runsOfRequest(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.byRequest[id]
}

func (l *runLedger) intn(n int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.Intn(n)
}

const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n"

// writeAnswer writes an answer with the request's id in place of ID, and keeps the connection.
func writeAnswer(w net.Conn, r *http.Request, text string) bool {
	_, err := io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
	return err == nil
}

// faultyScript answers most requests; others it refuses without running them, or runs them and spoils the answer.
func (l *runLedger) faultyScript(w net.Conn, r *http.Request, body []byte) bool {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: ID\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
	switch l.intn(24) {
	case 0:
		return writeAnswer(w, r, refusal)
	case 1:
		return writeAnswer(w, r, refusalWithoutID)
	case 2:
		return writeAnswer(w, r, refusalWithoutID+refusalWithoutID)
	case 3:
		kept := writeAnswer(w, r, refusalWithoutID)
		time.Sleep(time.Duration(l.intn(5)) * time.Millisecond)
		return kept && writeAnswer(w, r, refusalWithoutID)
	case 4:
		if l.intn(10) > 0 {
			break
		}
		return writeAnswer(w, r, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	l.record(r, body)
	time.Sleep(time.Duration(l.intn(3)) * time.Millisecond)
	switch l.intn(24) {
	case 0:
		return false
	case 1:
		_ = w.(*net.TCPConn).SetLinger(0)
		return false
	case 2:
		kept := answerOK(w, r, body)
		return kept && answerOK(w, r, body)
	case 3:
		kept := answerOK(w, r, body)
		time.Sleep(time.Duration(l.intn(5)) * time.Millisecond)
		return kept && writeAnswer(w, r, refusalWithoutID)
	case 4:
		return writeAnswer(w, r, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 100\r\n\r\nshort") && false
	case 5:
		return writeAnswer(w, r, strings.Repeat("garbage\r\n", 20))
	case 6:
		return writeAnswer(w, r, "HTTP/1.1 500 Internal Server Error\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
	case 7:
		statuses := []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"}
		return writeAnswer(w, r, "HTTP/1.1 "+statuses[l.intn(len(statuses))]+"\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
	case 8:
		return writeAnswer(w, r, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n") && answerOK(w, r, body)
	default:
		return answerOK(w, r, body)
	}
}

// onceSoak sends operations that must run once to daemons that are stopped, killed and started again, beside faulty targets.
type onceSoak struct {
	*mesh
	ledger  *runLedger
	targets []*fakeTarget
	mutex   sync.Mutex
	// promised holds the ids of requests that were answered as not run.
	promised []string
	outcomes map[int]int
}

func startOnceSoak(t *testing.T, seed int64) *onceSoak {
	t.Helper()
	s := &onceSoak{ledger: newRunLedger(seed), outcomes: map[int]int{}}
	for range onceSoakDaemons {
		s.targets = append(s.targets, startTarget(t, s.ledger.faultyScript))
	}
	s.mesh = startMesh(t, s.targets...)
	s.publish(t, 2, hangGuard)
	return s
}

// withSoakDeadline returns a request with a short deadline. A refusal without an id on a kept connection is ignored, so its
// request lasts until then.
func withSoakDeadline(request string) string {
	return strings.Replace(request, "X-Deadline: 900\r\n", "X-Deadline: 250\r\n", 1)
}

// runClient sends operations one after the other on a kept connection.
func (s *onceSoak) runClient(t *testing.T, client int, random *rand.Rand) {
	var c *caller
	for n := range onceSoakOperations {
		operation := fmt.Sprintf("operation %d of client %d", n, client)
		body := operation + "\n"
		if random.Intn(20) == 0 {
			body += strings.Repeat("x", maxBufferedBytes+random.Intn(maxBufferedBytes))
		}
		for attempt := range onceSoakAttempts {
			id := fmt.Sprintf("c%d-%d-%d", client, n, attempt)
			if c == nil {
				c = s.connect(random.Intn(onceSoakDaemons), t)
			}
			if c == nil {
				continue
			}
			text, pipelined := withSoakDeadline(post(id, body)), random.Intn(4) == 0
			if pipelined {
				text += withSoakDeadline(get("behind-"+id, "/get/behind"))
			}
			// A daemon that ends may reset the connection.
			_, _ = io.WriteString(c.conn, text)
			a := c.read()
			s.count(a)
			if a.err != nil || a.close || pipelined {
				_ = c.conn.Close()
				c = nil
			}
			if a.err == nil && a.status == http.StatusOK && (a.header.Get("X-Id") != id || a.body != "/post/x "+body) {
				t.Errorf("%s: the answer belongs to request %q", id, a.header.Get("X-Id"))
			}
			if a.err != nil || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout {
				break
			}
			s.promise(id)
		}
	}
}

func (s *onceSoak) count(a callerAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outcomes[a.status]++
}

func (s *onceSoak) promise(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.promised = append(s.promised, id)
}

// connect returns a connection to a daemon, or nil while it does not run.
func (s *onceSoak) connect(daemon int, t *testing.T) *caller {
	s.mutex.Lock()
	address := s.callerAddresses[daemon]
	s.mutex.Unlock()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(2 * hangGuard))
	return newCaller(t, conn)
}

// restart stops or kills a daemon and starts it again at the same addresses.
func (s *onceSoak) restart(t *testing.T, daemon int, random *rand.Rand) {
	t.Helper()
	if random.Intn(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), onceSoakGrace)
		s.forwarders[daemon].failedReadyChecks.Store(readyFailureThreshold)
		s.forwarders[daemon].Drain(ctx)
		cancel()
	}
	s.cancels[daemon]()
	<-s.ended[daemon]
	settings := NewSettings(s.callerAddresses[daemon], s.daemonAddresses[daemon], "127.0.0.1:0").
		WithTarget(s.targets[daemon].address, "catalogue", "a").WithHeaderNames(testHeaderNames).WithRetryAllowance(1, 100)
	for {
		fw := New(settings, s.tables, s.fleet, nil, rand.New(rand.NewSource(int64(daemon))))
		fw.SetRevisionGossip(fixedGossip{})
		fw.SetFeedServer(fakeFeed{})
		err := fw.Listen()
		if errors.Is(err, syscall.EADDRINUSE) {
			fw.meshServer.closeListener()
			fw.callerServer.closeListener()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		is.New(t).NoErr(err)
		s.serve(t, daemon, fw)
		fw.TargetsChanged(time.Now())
		return
	}
}

// Guards against requests that run twice, or that run although their callers were told that they have not (TWICE, REFUSED).
func TestOnceSoak(t *testing.T) {
	for seed := range int64(*soakSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startOnceSoak(t, seed)
			random := rand.New(rand.NewSource(seed))
			var clients sync.WaitGroup
			for client := range onceSoakClients {
				clientRandom := rand.New(rand.NewSource(random.Int63()))
				clients.Go(func() { s.runClient(t, client, clientRandom) })
			}
			done := make(chan struct{})
			go func() { clients.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
					s.restart(t, random.Intn(onceSoakDaemons), random)
				}
			}
			s.assertOnce(t)
		})
	}
}

func (s *onceSoak) assertOnce(t *testing.T) {
	t.Helper()
	for _, id := range s.promised {
		if runs := s.ledger.runsOfRequest(id); runs > 0 {
			t.Errorf("%s was answered as not run, and has run", id)
		}
	}
	s.ledger.mutex.Lock()
	defer s.ledger.mutex.Unlock()
	for id, runs := range s.ledger.byRequest {
		if runs > 1 && !strings.HasPrefix(id, "behind-") {
			t.Errorf("%s has run %d times", id, runs)
		}
	}
	for operation, runs := range s.ledger.byOperation {
		if runs > 1 && operation != "" {
			t.Errorf("%s has run %d times", operation, runs)
		}
	}
	t.Logf("%d operations ran; answers by status: %v; %d requests promised as not run", len(s.ledger.byOperation), s.outcomes, len(s.promised))
}
