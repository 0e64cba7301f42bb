package labdemo

import (
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// Ledger keeps every result until the checks at the end. It is safe for
// concurrent use.
type Ledger struct {
	lock    sync.Mutex
	results []labload.Result
	tally   *labload.Tally
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{tally: labload.NewTally()} }

// Observe keeps a result.
func (l *Ledger) Observe(r labload.Result) {
	l.tally.Observe(r)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.results = append(l.results, r)
}

// Results returns the kept results. No result may arrive any more.
func (l *Ledger) Results() []labload.Result {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.results
}

// Kill is the SIGKILL of one daemon.
type Kill struct {
	caller string
	at     time.Time
}

// cut reports whether a call lost its answer because the caller's own daemon was killed.
func (k Kill) cut(r labload.Result) bool {
	if k.at.IsZero() || r.Call().Address() != k.caller || r.Ended().Before(k.at) {
		return false
	}
	return r.Verdict() == labload.VerdictCut || r.Verdict() == labload.VerdictLost
}

// Counts are what the callers saw.
type Counts struct {
	calls     int
	lost      int
	wrong     int
	cutByKill int
	examples  []string
}

// maximumExamples bounds the examples of one kind of problem.
const maximumExamples = 5

// Count sorts the results into honest, lost, wrong and cut by the kill.
func Count(results []labload.Result, k Kill) Counts {
	c := Counts{calls: len(results)}
	for _, r := range results {
		switch {
		case r.Verdict().Honest():
			continue
		case k.cut(r):
			c.cutByKill++
			continue
		case r.Verdict() == labload.VerdictWrong:
			c.wrong++
		default:
			c.lost++
		}
		if len(c.examples) < maximumExamples {
			c.examples = append(c.examples, r.String())
		}
	}
	return c
}

// Rights are the calls that the lists in force do not explain, how many calls
// showed the effect of each edit, and how many allowed calls were answered.
type Rights struct {
	broken   []string
	shown    map[int]int
	allowed  int
	answered int
}

// CheckRights compares each call's fate with the published lists. All customers
// and services of the demo are on the lists all the time, so that a refusal of an
// unknown one is wrong too.
func CheckRights(results []labload.Result, o *Oracle) Rights {
	c := Rights{shown: map[int]int{}}
	for _, r := range results {
		refused := r.Reason() == basillift.ReasonPlan
		unknown := r.Reason() == basillift.ReasonCustomer || r.Reason() == basillift.ReasonService
		answered := r.Verdict() == labload.VerdictAnswered
		p := pair{r.Call().Customer(), r.Call().Service()}
		if !o.Permits(p, r.Sent(), r.Ended(), false) {
			c.count(r.Verdict(), answered)
		}
		if !refused && !unknown && !answered {
			continue
		}
		if unknown || !o.Permits(p, r.Sent(), r.Ended(), answered) {
			c.broken = append(c.broken, r.String())
			continue
		}
		if edit := o.Shows(p, r.Sent(), r.Ended(), answered); edit >= 0 {
			c.shown[edit]++
		}
	}
	return c
}

// count adds an allowed call. One that found no listener at a stopped daemon
// says nothing of the mesh.
func (c *Rights) count(v labload.Verdict, answered bool) {
	if v == labload.VerdictUnreached {
		return
	}
	c.allowed++
	if answered {
		c.answered++
	}
}
