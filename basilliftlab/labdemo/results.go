package labdemo

import (
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// ResultLog keeps the results of all calls for the checks at the end of a demo. It is safe
// for concurrent use.
type ResultLog struct {
	mutex   sync.Mutex
	results []labload.Result
	tally   *labload.Tally
}

// NewResultLog returns an empty log.
func NewResultLog() *ResultLog { return &ResultLog{tally: labload.NewTally()} }

// Observe adds a result. It implements labload.Observer.
func (l *ResultLog) Observe(r labload.Result) {
	l.tally.Observe(r)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results = append(l.results, r)
}

// Results returns all results without copying them. Observe must not be called after it.
func (l *ResultLog) Results() []labload.Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.results
}

// Kill describes the SIGKILL of a daemon: the daemon's address for callers, and the time.
type Kill struct {
	callerAddress string
	killedAt      time.Time
}

// explains reports whether a call got no answer because its caller's daemon was killed.
func (k Kill) explains(r labload.Result) bool {
	if k.killedAt.IsZero() || r.Call().Address() != k.callerAddress || r.Ended().Before(k.killedAt) {
		return false
	}
	return r.Verdict() == labload.VerdictCut || r.Verdict() == labload.VerdictLost
}

// VerdictCounts counts the results whose verdict isn't acceptable. lost excludes wrong answers
// and the calls that the kill explains; examples describe lost and wrong calls.
type VerdictCounts struct {
	total     int
	lost      int
	wrong     int
	cutByKill int
	examples  []string
}

// maxExamples bounds the examples of each failed check in the report.
const maxExamples = 5

// CountVerdicts counts lost and wrong results and those cut by the kill. All others are
// acceptable.
func CountVerdicts(results []labload.Result, k Kill) VerdictCounts {
	c := VerdictCounts{total: len(results)}
	for _, r := range results {
		switch {
		case r.Verdict().Acceptable():
			continue
		case k.explains(r):
			c.cutByKill++
			continue
		case r.Verdict() == labload.VerdictWrong:
			c.wrong++
		default:
			c.lost++
		}
		if len(c.examples) < maxExamples {
			c.examples = append(c.examples, r.String())
		}
	}
	return c
}

// PermissionCheck is the result of CheckPermissions: the calls that violate the lists in
// force, how many calls showed the effect of each edit, how many calls the lists allowed,
// and how many of these were answered.
type PermissionCheck struct {
	violations       []string
	callsShowingEdit map[int]int
	allowed          int
	answered         int
}

// CheckPermissions compares the result of each call with the published lists. All
// customers and services of the demo are always on the lists, so refusing one as unknown
// is a violation too.
func CheckPermissions(results []labload.Result, o *Oracle) PermissionCheck {
	c := PermissionCheck{callsShowingEdit: map[int]int{}}
	for _, r := range results {
		refused := r.Reason() == basillift.ReasonPlan
		unknown := r.Reason() == basillift.ReasonCustomer || r.Reason() == basillift.ReasonService
		answered := r.Verdict() == labload.VerdictAnswered
		pair := customerService{r.Call().Customer(), r.Call().Service()}
		if !o.Permits(pair, r.Sent(), r.Ended(), false) {
			c.countAllowed(r.Verdict(), answered)
		}
		if !refused && !unknown && !answered {
			continue
		}
		if unknown || !o.Permits(pair, r.Sent(), r.Ended(), answered) {
			c.violations = append(c.violations, r.String())
			continue
		}
		if edit := o.ShownEdit(pair, r.Sent(), r.Ended(), answered); edit >= 0 {
			c.callsShowingEdit[edit]++
		}
	}
	return c
}

// countAllowed counts an allowed call. A call that found no listener at a stopped daemon is
// left out, because it says nothing about the mesh.
func (c *PermissionCheck) countAllowed(v labload.Verdict, answered bool) {
	if v == labload.VerdictUnreached {
		return
	}
	c.allowed++
	if answered {
		c.answered++
	}
}
