package labload

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labtarget"
)

func start() time.Time { return time.UnixMilli(1_700_000_000_000) }

// Guards against plans that differ although their seed is the same, and against calls that share an id or key.
func TestPlanner(t *testing.T) {
	is := is.New(t)
	options := NewOptions([]string{"a", "b"}, []string{"s"}, []string{"c"})
	first, second := NewPlanner(start(), options), NewPlanner(start(), options)
	seen := map[string]bool{}
	for range 1000 {
		c := first.Next()
		is.Equal(c, second.Next())
		is.True(!seen[c.ID()])
		is.True(c.Key() == "" || !seen[c.Key()])
		is.Equal(c.Key() != "", c.Kind() == KindKeyed)
		seen[c.ID()], seen[c.Key()] = true, true
	}
	first.Remove("a")
	is.Equal(first.Next().Address(), "b")
}

// Guards against keys from which the daemons cannot read the creation time.
func TestKey(t *testing.T) {
	key := NewKey(start(), rand.New(rand.NewSource(1)))
	is := is.New(t)
	is.Equal(len(key), 36)
	is.Equal(key[:13], "018bcfe5-6800")
	is.Equal(key[14:15], "7")
}

// Guards against a mix that ignores a misspelled kind or an unusable weight.
func TestMix(t *testing.T) {
	assertParse := func(t *testing.T, text string, ok bool) {
		t.Helper()
		_, err := ParseMix(text)
		is.New(t).Equal(err == nil, ok)
	}
	t.Run("default", func(t *testing.T) { assertParse(t, DefaultMix, true) })
	t.Run("unknown kind", func(t *testing.T) { assertParse(t, "gett=1", false) })
	t.Run("negative", func(t *testing.T) { assertParse(t, "get=-1", false) })
	t.Run("all zero", func(t *testing.T) { assertParse(t, "get=0", false) })
	t.Run("empty", func(t *testing.T) { assertParse(t, "", false) })
}

// assertVerdict checks the verdict on a call of kind k that is served by h.
func assertVerdict(t *testing.T, k Kind, h http.HandlerFunc, want Verdict) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	c := NewClient(time.Second, 100, 1)
	defer c.Close()
	r := c.Do(context.Background(), Call{id: "a", kind: k, address: s.Listener.Addr().String(), service: "s"})
	is.New(t).Equal(r.Verdict(), want)
}

// outcomeHandler responds with status 503 and an outcome.
func outcomeHandler(o basillift.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Basillift-Outcome", string(o))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against a lost, truncated or wrong response that gets an acceptable verdict.
func TestVerdicts(t *testing.T) {
	target := labtarget.New(labtarget.NewOptions("vm1", ""), start()).Handler()
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) { assertVerdict(t, k, target.ServeHTTP, VerdictAnswered) })
	}
	t.Run("not run", func(t *testing.T) {
		assertVerdict(t, KindPost, outcomeHandler(basillift.OutcomeNotRun), VerdictRefused)
	})
	t.Run("unknown", func(t *testing.T) {
		assertVerdict(t, KindPost, outcomeHandler(basillift.OutcomeUnknown), VerdictUnknown)
	})
	t.Run("no outcome", func(t *testing.T) { assertVerdict(t, KindGet, outcomeHandler(""), VerdictLost) })
	t.Run("different request body", func(t *testing.T) {
		assertVerdict(t, KindPost, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.NoBody
			target.ServeHTTP(w, r)
		}, VerdictWrong)
	})
	t.Run("another call", func(t *testing.T) {
		assertVerdict(t, KindGet, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(labtarget.HeaderCall, "b")
			target.ServeHTTP(w, r)
		}, VerdictWrong)
	})
	t.Run("truncated", func(t *testing.T) {
		assertVerdict(t, KindGet, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}, VerdictCut)
	})
}

// Guards against a client that hides a broken connection by retrying. net/http retries only on a
// reused connection, so a first call is answered.
func TestNoHiddenRepeat(t *testing.T) {
	target := labtarget.New(labtarget.NewOptions("vm1", ""), start()).Handler()
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) {
			is := is.New(t)
			served := atomic.Int64{}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if served.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				target.ServeHTTP(w, r)
			}))
			defer s.Close()
			c := NewClient(time.Second, 100, 1)
			call := Call{id: "a", key: "k", kind: k, address: s.Listener.Addr().String(), service: "s"}
			is.Equal(c.Do(context.Background(), call).Verdict(), VerdictAnswered)
			is.Equal(c.Do(context.Background(), call).Verdict(), VerdictCut)
			is.Equal(served.Load(), int64(2))
		})
	}
	t.Run("unreached", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		is.New(t).NoErr(l.Close())
		r := NewClient(time.Second, 1, 1).Do(context.Background(), Call{kind: KindGet, address: l.Addr().String()})
		is.New(t).Equal(r.Verdict(), VerdictUnreached)
	})
}

// resultRecorder stores the results that it observes.
type resultRecorder struct {
	mutex sync.Mutex
	all   []Result
}

func (r *resultRecorder) Observe(result Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = append(r.all, result)
}

// Guards against calls or repeats without a result, and against repeats with another id or key.
func TestGenerator(t *testing.T) {
	is := is.New(t)
	// The target has more slots than there are calls, so that it refuses none.
	targetOptions := labtarget.NewOptions("vm1", "").WithLimits(1000, 1000, 1000)
	s := httptest.NewServer(labtarget.New(targetOptions, start()).Handler())
	defer s.Close()
	mix, err := ParseMix("keyed=1")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	recorder := &resultRecorder{}
	tally := NewTally()
	options := NewOptions([]string{s.Listener.Addr().String()}, []string{"s"}, []string{"c"}).WithRate(1000).WithMix(mix, 1)
	NewGenerator(options, &stoppingObserver{after: 20, cancel: cancel, next: []Observer{recorder, tally}}, time.Now()).Run(ctx)
	is.Equal(len(recorder.all), tally.Calls())
	ids := map[string]int{}
	for _, r := range recorder.all {
		is.Equal(r.Verdict(), VerdictAnswered)
		ids[r.Call().ID()+r.Call().Key()]++
	}
	for _, n := range ids {
		is.Equal(n, 2)
	}
}

// stoppingObserver stops the load after a number of results.
type stoppingObserver struct {
	mutex  sync.Mutex
	after  int
	cancel context.CancelFunc
	next   []Observer
}

func (s *stoppingObserver) Observe(r Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range s.next {
		o.Observe(r)
	}
	if s.after--; s.after == 0 {
		s.cancel()
	}
}
