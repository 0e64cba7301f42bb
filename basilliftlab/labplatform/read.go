package labplatform

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// The headers of an answer.
const (
	HeaderMod   = "Platform-Mod"
	HeaderStore = "Platform-Store"
)

// maximumWait bounds a watch in seconds.
const maximumWait = 300

// ErrQuery means that the query of a watch is malformed.
var ErrQuery = eris.New("bad query")

// answer is what one call sees.
type answer struct {
	data  []byte
	mod   uint64
	store uint64
}

// watch is the parsed query of a long poll.
type watch struct {
	on   bool
	mod  uint64
	wait time.Duration
}

func parseWatch(r *http.Request) (watch, error) {
	query := r.URL.Query()
	if !query.Has("watch") {
		return watch{}, nil
	}
	mod, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return watch{}, fmt.Errorf("watch is %q, a revision is allowed: %w", query.Get("watch"), ErrQuery)
	}
	wait, err := strconv.ParseUint(query.Get("wait"), 10, 64)
	if err != nil || wait > maximumWait {
		return watch{}, fmt.Errorf("wait is %q, 0 to %d seconds are allowed: %w", query.Get("wait"), maximumWait, ErrQuery)
	}
	return watch{on: true, mod: mod, wait: time.Duration(wait) * time.Second}, nil
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(time.Now(), watch.on) {
		http.Error(w, "read budget exhausted", http.StatusTooManyRequests)
		return
	}
	if watch.on {
		p.await(r.Context(), r.PathValue("key"), watch)
	}
	p.delay(r.Context())
	a, ok := p.look(r.PathValue("key"))
	if !ok || r.Context().Err() != nil {
		p.countFailed()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p.reply(w, r, a)
}

// admit counts a call and takes it from the budget.
func (p *Platform) admit(now time.Time, watch bool) bool {
	allowed := p.budget.AllowN(now, 1)
	p.lock.Lock()
	defer p.lock.Unlock()
	if !allowed {
		p.stats.Refused++
		return false
	}
	if watch {
		p.stats.Watches++
		return true
	}
	p.stats.Reads++
	return true
}

// await returns when the key's mod differs from the watched one, when the wait
// is over, in an outage, or when the reader is gone.
func (p *Platform) await(ctx context.Context, key string, w watch) {
	timer := time.NewTimer(w.wait)
	defer timer.Stop()
	p.wait(1)
	defer p.wait(-1)
	for {
		changed := p.changes()
		a, ok := p.look(key)
		if !ok || a.mod != w.mod {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) wait(difference int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.stats.Waiting += difference
}

// changes returns a channel that closes at the next write or switch of faults.
func (p *Platform) changes() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.changed
}

func (p *Platform) delay(ctx context.Context) {
	p.lock.Lock()
	slow := p.faults.Slow()
	p.lock.Unlock()
	if slow == 0 {
		return
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
	}
}

// look returns what a call sees now; false means an outage.
func (p *Platform) look(key string) (answer, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.faults.Outage() {
		return answer{}, false
	}
	newest, _ := p.store.At(key, p.store.Revision())
	view := p.faults.View(p.store.Revision(), newest, p.random)
	mod, data := p.store.At(key, view)
	return answer{data: data, mod: mod, store: view}, true
}

// reply sends the value, or 304 when the reader already has its content.
func (p *Platform) reply(w http.ResponseWriter, r *http.Request, a answer) {
	w.Header().Set(HeaderStore, strconv.FormatUint(a.store, 10))
	if a.mod == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set(HeaderMod, strconv.FormatUint(a.mod, 10))
	tag := entityTag(a.data)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.data)))
	n, _ := w.Write(a.data)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.stats.Bytes += uint64(n)
}

// entityTag is a hash of the content, so that a mod that is given twice does not hide a change.
func entityTag(data []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return strconv.Quote(strconv.FormatUint(h.Sum64(), 16))
}

func (p *Platform) countFailed() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.stats.Failed++
}
