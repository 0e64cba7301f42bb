package labtarget

import (
	"net/http"
	"time"

	"basillift.dev/basilliftlab/labhttp"
)

func (t *Target) reportedLoad() Load {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reporter.Report(now, t.admission.Load(now))
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	state := t.reportedLoad().State()
	status := http.StatusOK
	if !state.AcceptsCalls() {
		status = http.StatusServiceUnavailable
	}
	labhttp.WriteJSON(w, status, map[string]State{"state": state})
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	labhttp.WriteJSON(w, http.StatusOK, t.reportedLoad().body())
}

func (t *Target) handleSwitch(w http.ResponseWriter, r *http.Request) {
	var body switchBody
	err := labhttp.ReadJSON(r, &body)
	if err == nil {
		err = body.validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	t.reporter.SetSwitches(time.Duration(body.LagMs)*time.Millisecond, body.FalseReport)
	t.admission.SetSwitches(body.Drain, body.ShedRatio)
	t.mutex.Unlock()
	t.options.log.Info().Interface("switches", body).Msg("switches set")
	labhttp.WriteJSON(w, http.StatusOK, body)
}

// runsBody is the response of GET /lab/runs: the number of runs by call id, and
// the number of runs that were not recorded.
type runsBody struct {
	Runs    map[string]int `json:"runs"`
	Dropped int            `json:"dropped"`
}

func (t *Target) handleRuns(w http.ResponseWriter, r *http.Request) {
	t.mutex.Lock()
	body := runsBody{Runs: t.runCounter.Counts(r.URL.Query().Get("all") == "true"), Dropped: t.runCounter.droppedCount}
	t.mutex.Unlock()
	labhttp.WriteJSON(w, http.StatusOK, body)
}

func (t *Target) handleStats(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	stats := t.stats
	stats.Started, stats.Dropped = t.runCounter.startedCount, t.runCounter.droppedCount
	if !t.runCounter.lastStart.IsZero() {
		stats.LastStart = t.runCounter.lastStart.UnixMilli()
	}
	t.mutex.Unlock()
	if t.listener != nil {
		stats.OpenConnections, stats.ClosedConnections = t.listener.openCount.Load(), t.listener.closedCount.Load()
	}
	labhttp.WriteJSON(w, http.StatusOK, stats)
}
