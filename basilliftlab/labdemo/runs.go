package labdemo

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// RunCheck is the result of CheckRuns: descriptions of the calls for which the callers'
// verdicts contradict the run counts of the targets.
type RunCheck struct {
	ranTwice           []string
	ranDespiteRefusal  []string
	answeredWithoutRun []string
}

// CheckRuns compares the verdicts with the run counts by call id, over all targets. A call
// that was sent again with its key counts as refused only if it was refused both times.
func CheckRuns(results []labload.Result, runs map[string]int) RunCheck {
	var c RunCheck
	answered, reportedTwice := map[string]bool{}, map[string]bool{}
	refused := map[string]bool{}
	for _, r := range results {
		id := r.Call().ID()
		_, known := refused[id]
		refusal := r.Verdict() == labload.VerdictRefused || r.Verdict() == labload.VerdictUnreached
		refused[id] = refusal && (!known || refused[id])
		answered[id] = answered[id] || r.Verdict() == labload.VerdictAnswered
		if runs[id] > 1 && !r.Call().Kind().Idempotent() && !reportedTwice[id] {
			c.ranTwice = append(c.ranTwice, fmt.Sprintf("ran %d times: %s", runs[id], r))
			reportedTwice[id] = true
		}
	}
	for _, r := range results {
		id := r.Call().ID()
		if refused[id] && runs[id] > 0 {
			c.ranDespiteRefusal = append(c.ranDespiteRefusal, r.String())
		}
		if answered[id] && runs[id] == 0 {
			c.answeredWithoutRun = append(c.answeredWithoutRun, r.String())
		}
	}
	return c
}

// countInFlight counts the calls that were in flight through a daemon at a time.
func countInFlight(results []labload.Result, callerAddress string, at time.Time) int {
	count := 0
	for _, r := range results {
		if r.Call().Address() == callerAddress && r.Sent().Before(at) && r.Ended().After(at) {
			count++
		}
	}
	return count
}

// interruptedCalls returns the calls that ended between two times without an answer or a
// refusal. If a planned stop is the only fault in that time, it caused them. Two kinds of
// calls are left out. A repeat may have the outcome unknown because the owners of its key are
// gone. So may a first call, if two of the three owners of its key are gone; it was never in
// flight at a target, as the run counts show, and countWithoutOwners counts it.
func interruptedCalls(results []labload.Result, runs map[string]int, from, to time.Time) []string {
	var found []string
	for _, r := range results {
		if r.Ended().Before(from) || r.Ended().After(to) || r.Call().Repeat() || lacksOwners(r, runs) {
			continue
		}
		if r.Verdict() == labload.VerdictUnknown || !r.Verdict().Acceptable() {
			found = append(found, r.String())
		}
	}
	return found
}

// lacksOwners reports whether a call was refused before any target ran it, because too few
// owners of its key responded.
func lacksOwners(r labload.Result, runs map[string]int) bool {
	return r.Reason() == basillift.ReasonKeyUnknown && runs[r.Call().ID()] == 0
}

func countWithoutOwners(results []labload.Result, runs map[string]int) int {
	count := 0
	for _, r := range results {
		if lacksOwners(r, runs) {
			count++
		}
	}
	return count
}
