package labtarget

import (
	"net/http"
	"time"
)

// maximumRuns bounds the call ids that are kept; later ones are only counted as
// dropped, which a check must treat as a failure to observe.
const maximumRuns = 1_000_000

// run is how often one call ran.
type run struct {
	count  int
	method string
}

// Runs counts how often each call id ran. It is not safe for concurrent use;
// its Target guards it.
type Runs struct {
	calls   map[string]run
	dropped int
	started int
	last    time.Time
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{calls: map[string]run{}} }

// Start counts one run and returns how often the call has run now. A call
// without an id counts only towards the total.
func (r *Runs) Start(now time.Time, call, method string) int {
	r.started++
	r.last = now
	if call == "" {
		return 1
	}
	known, found := r.calls[call]
	if !found && len(r.calls) >= maximumRuns {
		r.dropped++
		return 1
	}
	known.count++
	known.method = method
	r.calls[call] = known
	return known.count
}

// Counts returns the ids with their count: those of non-idempotent methods, or all.
func (r *Runs) Counts(all bool) map[string]int {
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
