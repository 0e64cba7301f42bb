package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
)

// testTimeout stops a test that would otherwise hang. No assertion depends on it.
const testTimeout = 60 * time.Second

const (
	plans         = `{"epoch":1,"services":["catalogue","reservations"],"plans":[{"name":"basic","services":["catalogue"]},{"name":"full","services":["catalogue","reservations"]}]}`
	kobuletiBasic = `{"epoch":1,"customers":[{"name":"kobuleti","plan":"basic"},{"name":"batumi","plan":"full"}]}`
	kobuletiFull  = `{"epoch":1,"customers":[{"name":"kobuleti","plan":"full"},{"name":"batumi","plan":"basic"}]}`
)

// fakePlatform answers reads and long polls.
type fakePlatform struct {
	mutex   sync.Mutex
	changed chan struct{}
	store   int
	mods    map[string]int
	values  map[string]string
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{changed: make(chan struct{}), mods: map[string]int{}, values: map[string]string{}}
}

func (f *fakePlatform) put(key, value string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.store++
	f.mods[key], f.values[key] = f.store, value
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/keys/")
	if seen := r.URL.Query().Get("watch"); seen != "" {
		f.wait(r.Context(), key, seen)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	w.Header().Set("Platform-Store", strconv.Itoa(f.store))
	if f.mods[key] == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Platform-Mod", strconv.Itoa(f.mods[key]))
	_, _ = io.WriteString(w, f.values[key])
}

func (f *fakePlatform) wait(ctx context.Context, key, seen string) {
	for {
		f.mutex.Lock()
		changed, mod := f.changed, strconv.Itoa(f.mods[key])
		f.mutex.Unlock()
		if mod != seen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			return
		}
	}
}

// testMesh is a few daemons in one process, each with a target.
type testMesh struct {
	platform *fakePlatform
	callers  []string
	runs     sync.Map
}

// usedAddresses are those that freeAddress has returned. The kernel may choose a closed port once more, also for the same daemon.
var usedAddresses sync.Map

// freeAddress returns an unused loopback address, so that the test needs no fixed ports.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := l.Addr().String()
		_ = l.Close()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

func startMesh(t *testing.T) *testMesh {
	t.Helper()
	m := &testMesh{platform: newFakePlatform()}
	platform := httptest.NewServer(m.platform)
	t.Cleanup(platform.Close)
	seed := freeAddress(t)
	places := []struct{ domain, service string }{{"a", "catalogue"}, {"a", "reservations"}, {"b", "catalogue"}}
	for i, p := range places {
		control := seed
		if i > 0 {
			control = freeAddress(t)
		}
		m.startDaemon(t, fmt.Sprintf("vm%d", i), p.domain, p.service, control, seed, platform.URL)
	}
	return m
}

func (m *testMesh) startDaemon(t *testing.T, name, domain, service, control, seed, platform string) {
	t.Helper()
	target := httptest.NewServer(m.target(name))
	t.Cleanup(target.Close)
	caller := freeAddress(t)
	settings, err := blsettings.Parse(fmt.Appendf(nil,
		`{"name":%q,"domain":%q,"service":%q,"caller":%q,"mesh":%q,"control":%q,"admin":%q,"target":%q,"platform":%q,"seeds":[%q]}`,
		name, domain, service, caller, freeAddress(t), control, freeAddress(t), target.Listener.Addr(), platform, seed))
	is.New(t).NoErr(err)
	log, err := bllog.New(io.Discard, "info", settings.Name())
	is.New(t).NoErr(err)
	d, err := build(settings, log)
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	m.callers = append(m.callers, caller)
}

// target answers every path with its name and counts the runs of non-idempotent calls.
func (m *testMesh) target(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"slots":10,"used":0,"queue":0,"state":"ready"}`)
			return
		}
		if r.Method == http.MethodPost {
			runs, _ := m.runs.LoadOrStore(r.URL.Path, 0)
			m.runs.Store(r.URL.Path, runs.(int)+1)
		}
		_, _ = io.WriteString(w, name)
	})
}

func (m *testMesh) call(t *testing.T, daemon int, method, customer, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+m.callers[daemon]+path, nil)
	is.New(t).NoErr(err)
	r.Header.Set("Basillift-Customer", customer)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(body)
}

// assertBecomes waits until calls get the wanted status.
func (m *testMesh) assertBecomes(t *testing.T, daemon int, customer, path string, want int) {
	t.Helper()
	var status int
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if status, _ = m.call(t, daemon, http.MethodGet, customer, path); status == want {
			return
		}
	}
	t.Fatalf("%s of %s at daemon %d: status %d, want %d", path, customer, daemon, status, want)
}

// Guards against wiring the parts of the daemon in such a way that the lists of plans and customers do not decide where
// calls go. Covers the whole path from the platform to the targets over real sockets.
func TestWholePath(t *testing.T) {
	m := startMesh(t)
	m.platform.put("plans", plans)
	m.platform.put("customers", kobuletiBasic)
	for daemon := range m.callers {
		m.assertBecomes(t, daemon, "batumi", "/reservations/x", http.StatusOK)
		m.assertBecomes(t, daemon, "kobuleti", "/catalogue/x", http.StatusOK)
		m.assertBecomes(t, daemon, "kobuleti", "/reservations/x", http.StatusForbidden)
	}
	t.Run("a call runs once on the right target", func(t *testing.T) {
		is := is.New(t)
		status, body := m.call(t, 2, http.MethodPost, "batumi", "/reservations/once")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "vm1")
		runs := 0
		m.runs.Range(func(key, count any) bool {
			if strings.HasSuffix(key.(string), "/once") {
				runs += count.(int)
			}
			return true
		})
		is.Equal(runs, 1)
	})
	t.Run("an edit of a list changes what is allowed", func(t *testing.T) {
		m.platform.put("customers", kobuletiFull)
		for daemon := range m.callers {
			m.assertBecomes(t, daemon, "kobuleti", "/reservations/x", http.StatusOK)
			m.assertBecomes(t, daemon, "batumi", "/reservations/x", http.StatusForbidden)
		}
	})
	t.Run("an invalid list changes nothing", func(t *testing.T) {
		m.platform.put("customers", `{"epoch":1,"customers":[{"name":"kobuleti","plan":"gold"}]}`)
		m.platform.put("plans", strings.Replace(plans, `"epoch":1`, `"epoch":1,"extra":1`, 1))
		for daemon := range m.callers {
			m.assertBecomes(t, daemon, "kobuleti", "/reservations/x", http.StatusOK)
		}
	})
}
