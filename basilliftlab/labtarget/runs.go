package labtarget

import (
	"net/http"
	"time"
)

// maxTrackedCalls limits the call ids that are stored. Runs of further ids are only
// counted as dropped, which a check must treat as missing observations.
const maxTrackedCalls = 1_000_000

// callRuns is the number of runs of a call, and its method.
type callRuns struct {
	count  int
	method string
}

// RunCounter counts how often each call id ran. It is not safe for concurrent use;
// its Target guards it with a mutex.
type RunCounter struct {
	calls        map[string]callRuns
	droppedCount int
	startedCount int
	lastStart    time.Time
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{calls: map[string]callRuns{}} }

// Start counts one run and returns how often the call has run, this run included.
// A call without an id only counts towards the total.
func (r *RunCounter) Start(now time.Time, callID, method string) int {
	r.startedCount++
	r.lastStart = now
	if callID == "" {
		return 1
	}
	runs, found := r.calls[callID]
	if !found && len(r.calls) >= maxTrackedCalls {
		r.droppedCount++
		return 1
	}
	runs.count++
	runs.method = method
	r.calls[callID] = runs
	return runs.count
}

// Counts returns the number of runs by call id: for calls with non-idempotent
// methods only, or for all calls.
func (r *RunCounter) Counts(all bool) map[string]int {
	counts := make(map[string]int, len(r.calls))
	for id, c := range r.calls {
		if all || !idempotent(c.method) {
			counts[id] = c.count
		}
	}
	return counts
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
