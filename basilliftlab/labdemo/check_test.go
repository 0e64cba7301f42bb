package labdemo

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// at is a time in seconds after the start of the tests' clock.
func at(seconds int) time.Time { return time.Unix(1_700_000_000+int64(seconds), 0) }

// result is a call of the moved customer to the second service.
func result(id string, k labload.Kind, v labload.Verdict, r basillift.Reason, sent, ended int) labload.Result {
	call := labload.NewCall(id, k, "vm1", customerMoved, "reservations")
	return labload.NewResult(call, v, r, at(sent), at(ended))
}

// edited has a service taken away between 10 and 12, and given back between 20 and 21.
func edited() *Oracle {
	services := []string{"catalogue", "reservations", "gallery"}
	l := NewLists(services)
	o := NewOracle(l, callers(), services)
	l.Edit(0)
	o.Edit(l, 0, at(10), at(12))
	l.Edit(1)
	o.Edit(l, 1, at(20), at(21))
	return o
}

// Guards against a call that is judged by lists that are no longer, or not yet, in force.
func TestRights(t *testing.T) {
	judges := func(t *testing.T, v labload.Verdict, r basillift.Reason, sent, ended int, broken bool, shown int) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := CheckRights([]labload.Result{result("a", labload.KindGet, v, r, sent, ended)}, edited())
		is.Equal(len(c.broken) > 0, broken)
		is.Equal(c.shown[shown] > 0, shown >= 0)
	}
	answered, refused, plan := labload.VerdictAnswered, labload.VerdictRefused, basillift.ReasonPlan
	t.Run("allowed before", func(t *testing.T) { judges(t, answered, "", 5, 6, false, -1) })
	t.Run("refused before", func(t *testing.T) { judges(t, refused, plan, 5, 6, true, -1) })
	t.Run("allowed while spreading", func(t *testing.T) { judges(t, answered, "", 11, 11, false, -1) })
	t.Run("refused while spreading", func(t *testing.T) { judges(t, refused, plan, 11, 11, false, -1) })
	t.Run("answered late but sent in time", func(t *testing.T) { judges(t, answered, "", 11, 15, false, -1) })
	t.Run("allowed after taking", func(t *testing.T) { judges(t, answered, "", 13, 14, true, -1) })
	t.Run("refused after taking", func(t *testing.T) { judges(t, refused, plan, 13, 14, false, 0) })
	t.Run("refused after giving", func(t *testing.T) { judges(t, refused, plan, 22, 23, true, -1) })
	t.Run("allowed after giving", func(t *testing.T) { judges(t, answered, "", 22, 23, false, 1) })
	t.Run("listed customer unknown", func(t *testing.T) {
		judges(t, refused, basillift.ReasonCustomer, 13, 14, true, -1)
	})
}

// Guards against edits that change nothing for the callers.
func TestEdits(t *testing.T) {
	is := is.New(t)
	l := NewLists([]string{"a", "b", "c"})
	rights := func() int {
		count := 0
		for _, c := range callers() {
			for _, s := range l.services {
				if l.Allows(c, s) {
					count++
				}
			}
		}
		return count
	}
	full := rights()
	for n := range edits {
		l.Edit(n)
		is.Equal(rights() == full, n%2 == 1)
	}
}

// Guards against a second run or a run of a refused call that goes unnoticed.
func TestRuns(t *testing.T) {
	finds := func(t *testing.T, runs, twice, notRun, silent int, results ...labload.Result) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := CheckRuns(results, map[string]int{"a": runs})
		is.Equal(len(c.twice), twice)
		is.Equal(len(c.notRun), notRun)
		is.Equal(len(c.silent), silent)
	}
	one := func(k labload.Kind, v labload.Verdict) labload.Result { return result("a", k, v, "", 1, 2) }
	keyed, answered, refused := labload.KindKeyed, labload.VerdictAnswered, labload.VerdictRefused
	t.Run("once", func(t *testing.T) { finds(t, 1, 0, 0, 0, one(keyed, answered)) })
	t.Run("keyed twice", func(t *testing.T) { finds(t, 2, 1, 0, 0, one(keyed, answered), one(keyed, answered)) })
	t.Run("post twice", func(t *testing.T) { finds(t, 2, 1, 0, 0, one(labload.KindPost, labload.VerdictUnknown)) })
	t.Run("get twice", func(t *testing.T) { finds(t, 2, 0, 0, 0, one(labload.KindGet, answered)) })
	t.Run("refused but ran", func(t *testing.T) { finds(t, 1, 0, 1, 0, one(keyed, refused)) })
	t.Run("refused, then ran", func(t *testing.T) { finds(t, 1, 0, 0, 0, one(keyed, refused), one(keyed, answered)) })
	t.Run("ran, then refused", func(t *testing.T) { finds(t, 1, 0, 0, 0, one(keyed, answered), one(keyed, refused)) })
	t.Run("unreached but ran", func(t *testing.T) { finds(t, 1, 0, 1, 0, one(keyed, labload.VerdictUnreached)) })
	t.Run("answered without a run", func(t *testing.T) { finds(t, 0, 0, 0, 1, one(keyed, answered)) })
}

// Guards against losses that are excused by a kill that did not cause them.
func TestCount(t *testing.T) {
	counts := func(t *testing.T, v labload.Verdict, k Kill, lost, wrong, cutByKill int) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := Count([]labload.Result{result("a", labload.KindGet, v, "", 1, 5)}, k)
		is.Equal(c.lost, lost)
		is.Equal(c.wrong, wrong)
		is.Equal(c.cutByKill, cutByKill)
	}
	t.Run("own daemon killed", func(t *testing.T) { counts(t, labload.VerdictCut, Kill{"vm1", at(4)}, 0, 0, 1) })
	t.Run("before the kill", func(t *testing.T) { counts(t, labload.VerdictCut, Kill{"vm1", at(6)}, 1, 0, 0) })
	t.Run("other daemon killed", func(t *testing.T) { counts(t, labload.VerdictLost, Kill{"vm2", at(4)}, 1, 0, 0) })
	t.Run("wrong in spite of the kill", func(t *testing.T) { counts(t, labload.VerdictWrong, Kill{"vm1", at(4)}, 0, 1, 0) })
	t.Run("skipped", func(t *testing.T) { counts(t, labload.VerdictSkipped, Kill{}, 1, 0, 0) })
	t.Run("unknown", func(t *testing.T) { counts(t, labload.VerdictUnknown, Kill{}, 0, 0, 0) })
}

// Guards against a planned stop that is judged without calls in flight, or that
// is not charged with what it interrupted.
func TestInterrupted(t *testing.T) {
	is := is.New(t)
	again := labload.NewResult(result("r", "", "", "", 0, 0).Call().Again(at(4), "vm1"), labload.VerdictUnknown, "", at(4), at(5))
	results := []labload.Result{
		result("before", labload.KindGet, labload.VerdictCut, "", 1, 2),
		result("answered", labload.KindGet, labload.VerdictAnswered, "", 1, 4),
		result("cut", labload.KindGet, labload.VerdictCut, "", 2, 4),
		result("unknown", labload.KindPost, labload.VerdictUnknown, "", 4, 5),
		result("refused", labload.KindPost, labload.VerdictRefused, "", 4, 5),
		result("after", labload.KindGet, labload.VerdictLost, "", 4, 7),
		again,
		result("ownerless", labload.KindKeyed, labload.VerdictUnknown, basillift.ReasonKeyUnknown, 4, 5),
		result("ran", labload.KindKeyed, labload.VerdictUnknown, basillift.ReasonKeyUnknown, 4, 5),
	}
	runs := map[string]int{"ran": 1}
	is.Equal(flying(results, "vm1", at(3)), 2)
	is.Equal(flying(results, "vm2", at(3)), 0)
	is.Equal(interrupted(results, runs, at(3), at(6)), []string{results[2].String(), results[3].String(), results[8].String()})
	is.Equal(withoutOwners(results, runs), 1)
}

// Guards against a step back that a later reading hides.
func TestWatcher(t *testing.T) {
	is := is.New(t)
	w := newWatcher(VM{name: "vm1"}, nil, nil)
	w.want(2)
	for i, r := range []uint64{1, 3, 2, 4} {
		w.seen(at(i), basillift.NewVersion(1, r))
	}
	is.Equal(w.steps(), []string{"vm1 went from 1.3 back to 1.2"})
	when, ok := w.at(2)
	is.True(ok)
	is.Equal(when, at(1))
}

// good is evidence that passes all checks.
func good() evidence {
	return evidence{
		changes: 1, convergence: hdrhistogram.New(1, 1000, 3),
		rights:  Rights{shown: map[int]int{0: 1}, allowed: 100, answered: 95},
		drainAt: at(5), drainBefore: 1, drainLast: at(7), stopFlying: 1, controlBytes: 1,
	}
}

// Guards against a check that passes whatever was seen.
func TestChecks(t *testing.T) {
	fails := func(t *testing.T, count int, spoil func(*evidence)) {
		t.Helper()
		e := good()
		spoil(&e)
		failed := 0
		for _, c := range e.checks() {
			if !c.ok {
				failed++
			}
		}
		is.New(t).Equal(failed, count)
		is.New(t).Equal(newReport(e).OK(), count == 0)
	}
	some := []string{"found"}
	t.Run("good", func(t *testing.T) { fails(t, 0, func(*evidence) {}) })
	t.Run("late", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.late = some }) })
	t.Run("unshown", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.changes = 2 }) })
	t.Run("against the lists", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.rights.broken = some }) })
	t.Run("back", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.back = some }) })
	t.Run("lost", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.counts.lost = 1 }) })
	t.Run("wrong", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.counts.wrong = 1 }) })
	t.Run("twice", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.runs.twice = some }) })
	t.Run("refused but ran", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.runs.notRun = some }) })
	t.Run("answer without a run", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.runs.silent = some }) })
	t.Run("uncounted", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.dropped = 1 }) })
	t.Run("late call at drained", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.drainLast = at(8) }) })
	t.Run("drained unused", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.drainBefore = 0 }) })
	t.Run("cut by SIGTERM", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.stopCut = some }) })
	t.Run("interrupted by the drain", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.drainCut = some }) })
	t.Run("nothing in flight at SIGTERM", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.stopFlying = 0 }) })
	t.Run("unclean", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.unclean = some }) })
	t.Run("no control bytes", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.controlBytes = 0 }) })
	t.Run("refuses all", func(t *testing.T) { fails(t, 1, func(e *evidence) { e.rights.answered = 94 }) })
}

// Guards against metrics of a longer name, or without labels, that are added up wrongly.
func TestSumMetric(t *testing.T) {
	text := "# HELP a b\na_total{x=\"1\"} 5\na_total{x=\"2\"} 1e3\na_total_more 7\na_total 1\n"
	sum, err := sumMetric([]byte(text), "a_total")
	is.New(t).NoErr(err)
	is.New(t).Equal(sum, uint64(1006))
}

// Guards against meshes of another size than the design page's, and shared addresses.
func TestMesh(t *testing.T) {
	sizes := func(t *testing.T, name string, domains, vms int) {
		t.Helper()
		is := is.New(t)
		m, err := NewMesh(name, 20)
		is.NoErr(err)
		is.Equal(len(m.domains), domains)
		is.Equal(len(m.VMs()), vms)
		hosts := map[string]bool{}
		for _, v := range m.VMs() {
			hosts[v.host] = true
		}
		is.Equal(len(hosts), vms)
		is.Equal(len(m.seeds(m.VMs()[0])), domains-1)
	}
	t.Run("bindery", func(t *testing.T) { sizes(t, "bindery", 3, 13) })
	t.Run("ponds", func(t *testing.T) { sizes(t, "ponds", 4, 12) })
}
