package labdemo

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// Runs are contradictions between the callers' verdicts and the targets' counts.
type Runs struct {
	twice  []string
	notRun []string
	silent []string
}

// CheckRuns compares the verdicts with how often each call ran over all targets.
// A call that was sent again with its key counts as refused only if both
// attempts were refused.
func CheckRuns(results []labload.Result, runs map[string]int) Runs {
	var c Runs
	answered, ran := map[string]bool{}, map[string]bool{}
	refused := map[string]bool{}
	for _, r := range results {
		id := r.Call().ID()
		_, known := refused[id]
		honest := r.Verdict() == labload.VerdictRefused || r.Verdict() == labload.VerdictUnreached
		refused[id] = honest && (!known || refused[id])
		answered[id] = answered[id] || r.Verdict() == labload.VerdictAnswered
		if runs[id] > 1 && !r.Call().Kind().Idempotent() && !ran[id] {
			c.twice = append(c.twice, fmt.Sprintf("ran %d times: %s", runs[id], r))
			ran[id] = true
		}
	}
	for _, r := range results {
		id := r.Call().ID()
		if refused[id] && runs[id] > 0 {
			c.notRun = append(c.notRun, r.String())
		}
		if answered[id] && runs[id] == 0 {
			c.silent = append(c.silent, r.String())
		}
	}
	return c
}

// flying counts the calls that were in flight through a daemon at a time.
func flying(results []labload.Result, caller string, at time.Time) int {
	count := 0
	for _, r := range results {
		if r.Call().Address() == caller && r.Sent().Before(at) && r.Ended().After(at) {
			count++
		}
	}
	return count
}

// interrupted lists the calls that ended between two times without an answer or
// a refusal. In a time of a planned stop and of no other fault, the stop caused
// them. A repeat may be unknown for another reason: the owners of its key are gone.
// A first call may too, when two of its key's three owners are gone; it was never
// in flight at a target, which the targets' counts show, and is counted by withoutOwners.
func interrupted(results []labload.Result, runs map[string]int, from, to time.Time) []string {
	var found []string
	for _, r := range results {
		if r.Ended().Before(from) || r.Ended().After(to) || r.Call().Repeat() || withoutOwner(r, runs) {
			continue
		}
		if r.Verdict() == labload.VerdictUnknown || !r.Verdict().Honest() {
			found = append(found, r.String())
		}
	}
	return found
}

// withoutOwner reports whether a call was refused before any target ran it, because too few owners
// of its key answered.
func withoutOwner(r labload.Result, runs map[string]int) bool {
	return r.Reason() == basillift.ReasonKeyUnknown && runs[r.Call().ID()] == 0
}

func withoutOwners(results []labload.Result, runs map[string]int) int {
	count := 0
	for _, r := range results {
		if withoutOwner(r, runs) {
			count++
		}
	}
	return count
}
