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

// Guards against calls that differ between two runs with one seed, or that share an id or key.
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

// Guards against keys whose creation time the daemons cannot read.
func TestKey(t *testing.T) {
	key := NewKey(start(), rand.New(rand.NewSource(1)))
	is := is.New(t)
	is.Equal(len(key), 36)
	is.Equal(key[:13], "018bcfe5-6800")
	is.Equal(key[14:15], "7")
}

// Guards against a mix that drops a misspelled kind.
func TestMix(t *testing.T) {
	parses := func(t *testing.T, text string, ok bool) {
		t.Helper()
		_, err := ParseMix(text)
		is.New(t).Equal(err == nil, ok)
	}
	t.Run("default", func(t *testing.T) { parses(t, DefaultMix, true) })
	t.Run("unknown kind", func(t *testing.T) { parses(t, "gett=1", false) })
	t.Run("negative", func(t *testing.T) { parses(t, "get=-1", false) })
	t.Run("all zero", func(t *testing.T) { parses(t, "get=0", false) })
	t.Run("empty", func(t *testing.T) { parses(t, "", false) })
}

// judges asserts the verdict on the answers of a handler.
func judges(t *testing.T, k Kind, h http.HandlerFunc, want Verdict) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	c := NewClient(time.Second, 100, 1)
	defer c.Close()
	r := c.Do(context.Background(), Call{id: "a", kind: k, address: s.Listener.Addr().String(), service: "s"})
	is.New(t).Equal(r.Verdict(), want)
}

// refusing answers with an outcome.
func refusing(o basillift.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Basillift-Outcome", string(o))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against a dishonest end of a call that counts as an honest one.
func TestVerdicts(t *testing.T) {
	target := labtarget.New(labtarget.NewOptions("vm1", ""), start()).Handler()
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) { judges(t, k, target.ServeHTTP, VerdictAnswered) })
	}
	t.Run("not run", func(t *testing.T) { judges(t, KindPost, refusing(basillift.OutcomeNotRun), VerdictRefused) })
	t.Run("unknown", func(t *testing.T) { judges(t, KindPost, refusing(basillift.OutcomeUnknown), VerdictUnknown) })
	t.Run("no outcome", func(t *testing.T) { judges(t, KindGet, refusing(""), VerdictLost) })
	t.Run("another body read", func(t *testing.T) {
		judges(t, KindPost, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.NoBody
			target.ServeHTTP(w, r)
		}, VerdictWrong)
	})
	t.Run("crossed", func(t *testing.T) {
		judges(t, KindGet, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(labtarget.HeaderCall, "b")
			target.ServeHTTP(w, r)
		}, VerdictWrong)
	})
	t.Run("cut", func(t *testing.T) {
		judges(t, KindGet, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}, VerdictCut)
	})
}

// Guards against a client that hides a broken connection by sending again. Only
// a reused connection shows it, so a first call is answered.
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

// results keeps what it observes.
type results struct {
	lock sync.Mutex
	all  []Result
}

func (r *results) Observe(one Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.all = append(r.all, one)
}

// Guards against calls that are planned but never reported, and repeats with another id or key.
func TestGenerator(t *testing.T) {
	is := is.New(t)
	// More slots than calls, as a refusal would not be the generator's doing.
	roomy := labtarget.NewOptions("vm1", "").WithLimits(1000, 1000, 1000)
	s := httptest.NewServer(labtarget.New(roomy, start()).Handler())
	defer s.Close()
	mix, err := ParseMix("keyed=1")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	seen := &results{}
	tally := NewTally()
	options := NewOptions([]string{s.Listener.Addr().String()}, []string{"s"}, []string{"c"}).WithRate(1000).WithMix(mix, 1)
	NewGenerator(options, &stopper{after: 20, cancel: cancel, next: []Observer{seen, tally}}, time.Now()).Run(ctx)
	is.Equal(len(seen.all), tally.Calls())
	ids := map[string]int{}
	for _, r := range seen.all {
		is.Equal(r.Verdict(), VerdictAnswered)
		ids[r.Call().ID()+r.Call().Key()]++
	}
	for _, n := range ids {
		is.Equal(n, 2)
	}
}

// stopper ends the load after a number of results.
type stopper struct {
	lock   sync.Mutex
	after  int
	cancel context.CancelFunc
	next   []Observer
}

func (s *stopper) Observe(r Result) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, o := range s.next {
		o.Observe(r)
	}
	if s.after--; s.after == 0 {
		s.cancel()
	}
}
