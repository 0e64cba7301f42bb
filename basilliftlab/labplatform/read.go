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

// Headers of a response. Both hold a decimal number: the modification revision of the
// value and the revision of the store.
const (
	HeaderModRevision   = "Platform-Mod"
	HeaderStoreRevision = "Platform-Store"
)

// maxWaitSeconds bounds how long a watch waits for a change.
const maxWaitSeconds = 300

// ErrQuery means that the query of a watch is invalid.
var ErrQuery = eris.New("invalid query")

// readResult is what one read observes. modRevision is 0 for a key without a value.
type readResult struct {
	data          []byte
	modRevision   uint64
	storeRevision uint64
}

// watch is the parsed query of a request. requested is false for a plain read; otherwise
// the request is a long poll for a modification revision other than modRevision.
type watch struct {
	requested   bool
	modRevision uint64
	wait        time.Duration
}

func parseWatch(r *http.Request) (watch, error) {
	query := r.URL.Query()
	if !query.Has("watch") {
		return watch{}, nil
	}
	modRevision, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return watch{}, fmt.Errorf("watch is %q, must be a revision: %w", query.Get("watch"), ErrQuery)
	}
	wait, err := strconv.ParseUint(query.Get("wait"), 10, 64)
	if err != nil || wait > maxWaitSeconds {
		return watch{}, fmt.Errorf("wait is %q, must be 0 to %d seconds: %w", query.Get("wait"), maxWaitSeconds, ErrQuery)
	}
	return watch{requested: true, modRevision: modRevision, wait: time.Duration(wait) * time.Second}, nil
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(time.Now(), watch.requested) {
		http.Error(w, "read budget exhausted", http.StatusTooManyRequests)
		return
	}
	if watch.requested {
		p.awaitChange(r.Context(), r.PathValue("key"), watch)
	}
	p.delayResponse(r.Context())
	result, ok := p.lookUp(r.PathValue("key"))
	if !ok || r.Context().Err() != nil {
		p.countFailure()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p.respond(w, r, result)
}

// admit counts a request and reports whether the read budget allows it.
func (p *Platform) admit(now time.Time, isWatch bool) bool {
	allowed := p.budget.AllowN(now, 1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !allowed {
		p.stats.Refused++
		return false
	}
	if isWatch {
		p.stats.Watches++
		return true
	}
	p.stats.Reads++
	return true
}

// awaitChange returns when the key's modification revision differs from the watched one,
// when the wait ends, during an outage, or when the reader disconnects.
func (p *Platform) awaitChange(ctx context.Context, key string, w watch) {
	timer := time.NewTimer(w.wait)
	defer timer.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for {
		changed := p.nextChange()
		result, ok := p.lookUp(key)
		if !ok || result.modRevision != w.modRevision {
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

func (p *Platform) addWaiting(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stats.Waiting += count
}

// nextChange returns a channel that is closed at the next write or change of the faults.
func (p *Platform) nextChange() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

func (p *Platform) delayResponse(ctx context.Context) {
	p.mutex.Lock()
	responseDelay := p.faults.ResponseDelay()
	p.mutex.Unlock()
	if responseDelay == 0 {
		return
	}
	select {
	case <-time.After(responseDelay):
	case <-ctx.Done():
	}
}

// lookUp returns what a read of a key observes now; false means an outage.
func (p *Platform) lookUp(key string) (readResult, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.Outage() {
		return readResult{}, false
	}
	lastWrite, _ := p.store.At(key, p.store.Revision())
	visibleRevision := p.faults.VisibleRevision(p.store.Revision(), lastWrite, p.random)
	modRevision, data := p.store.At(key, visibleRevision)
	return readResult{data: data, modRevision: modRevision, storeRevision: visibleRevision}, true
}

// respond sends the value, or status 304 if the reader already has its content.
func (p *Platform) respond(w http.ResponseWriter, r *http.Request, result readResult) {
	w.Header().Set(HeaderStoreRevision, strconv.FormatUint(result.storeRevision, 10))
	if result.modRevision == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set(HeaderModRevision, strconv.FormatUint(result.modRevision, 10))
	tag := entityTag(result.data)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.data)))
	n, _ := w.Write(result.data)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stats.Bytes += uint64(n)
}

// entityTag returns the ETag of a value: a hash of its content. The modification revision
// would not do, because a restore of the store reuses revisions, which would hide a change.
func entityTag(data []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return strconv.Quote(strconv.FormatUint(h.Sum64(), 16))
}

func (p *Platform) countFailure() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stats.Failed++
}
