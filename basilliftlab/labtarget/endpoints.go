package labtarget

import (
	"net/http"
	"time"

	"basillift.dev/basilliftlab/labhttp"
)

func (t *Target) reported() Load {
	now := time.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.reporter.Report(now, t.gate.Load(now))
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	state := t.reported().State()
	status := http.StatusOK
	if !state.Willing() {
		status = http.StatusServiceUnavailable
	}
	labhttp.WriteJSON(w, status, map[string]State{"state": state})
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	labhttp.WriteJSON(w, http.StatusOK, t.reported().body())
}

func (t *Target) turn(w http.ResponseWriter, r *http.Request) {
	var body switchBody
	err := labhttp.ReadJSON(r, &body)
	if err == nil {
		err = body.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.lock.Lock()
	t.reporter.Switch(time.Duration(body.Lag)*time.Millisecond, body.Lie)
	t.gate.Switch(body.Drain, body.Shed)
	t.lock.Unlock()
	t.options.log.Info().Interface("switches", body).Msg("switches set")
	labhttp.WriteJSON(w, http.StatusOK, body)
}

// runsBody is the JSON form of the counted runs.
type runsBody struct {
	Runs    map[string]int `json:"runs"`
	Dropped int            `json:"dropped"`
}

func (t *Target) listRuns(w http.ResponseWriter, r *http.Request) {
	t.lock.Lock()
	body := runsBody{Runs: t.runs.Counts(r.URL.Query().Get("all") == "true"), Dropped: t.runs.dropped}
	t.lock.Unlock()
	labhttp.WriteJSON(w, http.StatusOK, body)
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	t.lock.Lock()
	stats := t.stats
	stats.Started, stats.Dropped = t.runs.started, t.runs.dropped
	if !t.runs.last.IsZero() {
		stats.Last = t.runs.last.UnixMilli()
	}
	t.lock.Unlock()
	if t.listener != nil {
		stats.Connections, stats.Closed = t.listener.open.Load(), t.listener.refused.Load()
	}
	labhttp.WriteJSON(w, http.StatusOK, stats)
}
