package labplatform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// send passes one request to a handler.
func send(h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

// assertRead checks the response to a reader: the status, the headers with the
// modification and store revisions, and the value.
func assertRead(t *testing.T, p *Platform, target string, status int, modRevision, storeRevision, value string) {
	t.Helper()
	is := is.NewRelaxed(t)
	w := send(p.ReadHandler(), http.MethodGet, target, "")
	is.Equal(w.Code, status)
	is.Equal(w.Header().Get(HeaderModRevision), modRevision)
	is.Equal(w.Header().Get(HeaderStoreRevision), storeRevision)
	if status == http.StatusOK {
		is.Equal(w.Body.String(), value)
	}
}

// assertFaultsStatus checks the status with which the platform accepts or refuses faults.
func assertFaultsStatus(t *testing.T, p *Platform, faults string, status int) {
	t.Helper()
	is.New(t).Equal(send(p.OperatorHandler(), http.MethodPost, "/v1/faults", faults).Code, status)
}

// newFilledPlatform returns a platform with customers written at revisions 1 and 3 and
// plans at revision 2.
func newFilledPlatform(t *testing.T) *Platform {
	t.Helper()
	p := New(NewOptions("", ""))
	for _, v := range [][2]string{{"customers", "c1"}, {"plans", "p2"}, {"customers", "c3"}} {
		is.New(t).Equal(send(p.OperatorHandler(), http.MethodPut, "/v1/keys/"+v[0], v[1]).Code, http.StatusOK)
	}
	return p
}

// Guards against a stand-in whose protocol differs from the published one.
func TestRead(t *testing.T) {
	p := newFilledPlatform(t)
	t.Run("one revision counter for all keys", func(t *testing.T) {
		assertRead(t, p, "/v1/keys/customers", 200, "3", "3", "c3")
		assertRead(t, p, "/v1/keys/plans", 200, "2", "3", "p2")
	})
	t.Run("absent key", func(t *testing.T) { assertRead(t, p, "/v1/keys/vms", 404, "", "3", "") })
	t.Run("watch of another revision responds at once", func(t *testing.T) {
		assertRead(t, p, "/v1/keys/customers?watch=1&wait=300", 200, "3", "3", "c3")
	})
	t.Run("watch ends unchanged", func(t *testing.T) {
		assertRead(t, p, "/v1/keys/plans?watch=2&wait=0", 200, "2", "3", "p2")
	})
	t.Run("invalid watch", func(t *testing.T) { assertRead(t, p, "/v1/keys/plans?watch=x&wait=1", 400, "", "", "") })
	t.Run("invalid wait", func(t *testing.T) { assertRead(t, p, "/v1/keys/plans?watch=1&wait=-1", 400, "", "", "") })
}

// Guards against a watch that misses the write that it waits for.
func TestWatchWakes(t *testing.T) {
	is := is.New(t)
	p := newFilledPlatform(t)
	s := httptest.NewServer(p.ReadHandler())
	defer s.Close()
	w := &watcher{url: s.URL + "/v1/keys/plans?watch=2&wait=60", body: make(chan string, 1)}
	go w.run()
	is.Equal(send(p.OperatorHandler(), http.MethodPut, "/v1/keys/plans", "p4").Code, http.StatusOK)
	is.Equal(<-w.body, "p4")
}

type watcher struct {
	url  string
	body chan string
}

func (w *watcher) run() {
	r, err := http.Get(w.url)
	if err != nil {
		w.body <- err.Error()
		return
	}
	defer func() { _ = r.Body.Close() }()
	data, _ := io.ReadAll(r.Body)
	w.body <- string(data)
}

// Guards against faults that have no effect on readers: tests that use them would pass
// without testing anything.
func TestFaults(t *testing.T) {
	p := newFilledPlatform(t)
	t.Run("outage", func(t *testing.T) {
		assertFaultsStatus(t, p, `{"outage":true}`, 200)
		assertRead(t, p, "/v1/keys/customers", 503, "", "", "")
	})
	t.Run("stale", func(t *testing.T) {
		assertFaultsStatus(t, p, `{"stale":2}`, 200)
		assertRead(t, p, "/v1/keys/customers", 200, "1", "2", "c1")
	})
	t.Run("older", func(t *testing.T) {
		assertFaultsStatus(t, p, `{"older":1}`, 200)
		assertRead(t, p, "/v1/keys/customers", 200, "1", "2", "c1")
	})
	t.Run("unknown field", func(t *testing.T) { assertFaultsStatus(t, p, `{"outtage":true}`, 400) })
	t.Run("ratio above 1", func(t *testing.T) { assertFaultsStatus(t, p, `{"older":2}`, 400) })
	t.Run("restore beyond the store's revision", func(t *testing.T) { assertFaultsStatus(t, p, `{"back":9}`, 400) })
	t.Run("restore reuses revisions", func(t *testing.T) {
		assertFaultsStatus(t, p, `{"back":2}`, 200)
		assertRead(t, p, "/v1/keys/customers", 200, "1", "2", "c1")
		send(p.OperatorHandler(), http.MethodPut, "/v1/keys/customers", "other")
		assertRead(t, p, "/v1/keys/customers", 200, "3", "3", "other")
	})
}

// Guards against a read budget or a limit of the value size that isn't enforced.
func TestLimits(t *testing.T) {
	t.Run("budget", func(t *testing.T) {
		p := New(NewOptions("", "").WithBudget(1))
		assertRead(t, p, "/v1/keys/plans", 404, "", "0", "")
		assertRead(t, p, "/v1/keys/plans", 429, "", "", "")
	})
	t.Run("value", func(t *testing.T) {
		p := New(NewOptions("", ""))
		put := func(size int) int {
			return send(p.OperatorHandler(), http.MethodPut, "/v1/keys/plans", strings.Repeat("x", size)).Code
		}
		is.New(t).Equal(put(MaxValueBytes), http.StatusOK)
		is.New(t).Equal(put(MaxValueBytes+1), http.StatusRequestEntityTooLarge)
	})
}
