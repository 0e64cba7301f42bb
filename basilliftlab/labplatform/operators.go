package labplatform

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"basillift.dev/basilliftlab/labhttp"
)

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	modRevision, err := p.store.Put(r.PathValue("key"), data)
	p.wakeWatches()
	p.mutex.Unlock()
	if errors.Is(err, ErrTooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.options.log.Debug().Str("key", r.PathValue("key")).Uint64("mod", modRevision).Int("bytes", len(data)).Msg("key written")
	w.Header().Set(HeaderModRevision, strconv.FormatUint(modRevision, 10))
	w.Header().Set(HeaderStoreRevision, strconv.FormatUint(modRevision, 10))
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if err := labhttp.ReadJSON(r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, err := newFaults(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if body.RestoreRevision > 0 {
		if err := p.store.Restore(body.RestoreRevision); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	p.faults = faults
	p.wakeWatches()
	p.options.log.Info().Interface("faults", body).Msg("faults set")
	labhttp.WriteJSON(w, http.StatusOK, body)
}

// wakeWatches makes all waiting watches read their key again. The caller holds the mutex.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	stats := p.stats
	stats.Revision = p.store.Revision()
	p.mutex.Unlock()
	labhttp.WriteJSON(w, http.StatusOK, stats)
}
