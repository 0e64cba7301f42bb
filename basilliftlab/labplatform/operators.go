package labplatform

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"basillift.dev/basilliftlab/labhttp"
)

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaximumValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	mod, err := p.store.Put(r.PathValue("key"), data)
	p.announce()
	p.lock.Unlock()
	if errors.Is(err, ErrTooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.options.log.Debug().Str("key", r.PathValue("key")).Uint64("mod", mod).Int("bytes", len(data)).Msg("key written")
	w.Header().Set(HeaderMod, strconv.FormatUint(mod, 10))
	w.Header().Set(HeaderStore, strconv.FormatUint(mod, 10))
}

func (p *Platform) switchFaults(w http.ResponseWriter, r *http.Request) {
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
	p.lock.Lock()
	defer p.lock.Unlock()
	if body.Back > 0 {
		if err := p.store.Restore(body.Back); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	p.faults = faults
	p.announce()
	p.options.log.Info().Interface("faults", body).Msg("faults switched")
	labhttp.WriteJSON(w, http.StatusOK, body)
}

// announce wakes all waiting watches. The caller holds the lock.
func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) report(w http.ResponseWriter, _ *http.Request) {
	p.lock.Lock()
	stats := p.stats
	stats.Revision = p.store.Revision()
	p.lock.Unlock()
	labhttp.WriteJSON(w, http.StatusOK, stats)
}
