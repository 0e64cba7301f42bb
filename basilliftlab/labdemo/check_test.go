package labdemo

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// testTime returns a time in seconds after the tests' start time.
func testTime(seconds int) time.Time { return time.Unix(1_700_000_000+int64(seconds), 0) }

// newResult returns the result of a call of customerReassigned to the second service.
func newResult(id string, k labload.Kind, v labload.Verdict, r basillift.Reason, sent, ended int) labload.Result {
	call := labload.NewCall(id, k, "vm1", customerReassigned, "reservations")
	return labload.NewResult(call, v, r, testTime(sent), testTime(ended))
}

// editedOracle returns an oracle with a service revoked between 10 s and 12 s and granted
// again between 20 s and 21 s.
func editedOracle() *Oracle {
	services := []string{"catalogue", "reservations", "gallery"}
	l := NewLists(services)
	o := NewOracle(l, callingCustomers(), services)
	l.ApplyEdit(0)
	o.RecordEdit(l, 0, testTime(10), testTime(12))
	l.ApplyEdit(1)
	o.RecordEdit(l, 1, testTime(20), testTime(21))
	return o
}

// Guards against checking a call against lists that are no longer, or not yet, in force.
func TestCheckPermissions(t *testing.T) {
	assertPermissionCheck := func(t *testing.T, v labload.Verdict, r basillift.Reason, sent, ended int, violation bool, shownEdit int) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := CheckPermissions([]labload.Result{newResult("a", labload.KindGet, v, r, sent, ended)}, editedOracle())
		is.Equal(len(c.violations) > 0, violation)
		is.Equal(c.callsShowingEdit[shownEdit] > 0, shownEdit >= 0)
	}
	answered, refused, plan := labload.VerdictAnswered, labload.VerdictRefused, basillift.ReasonPlan
	t.Run("allowed before the edit", func(t *testing.T) { assertPermissionCheck(t, answered, "", 5, 6, false, -1) })
	t.Run("refused before the edit", func(t *testing.T) { assertPermissionCheck(t, refused, plan, 5, 6, true, -1) })
	t.Run("allowed during convergence", func(t *testing.T) { assertPermissionCheck(t, answered, "", 11, 11, false, -1) })
	t.Run("refused during convergence", func(t *testing.T) { assertPermissionCheck(t, refused, plan, 11, 11, false, -1) })
	t.Run("sent during convergence, answered after it", func(t *testing.T) { assertPermissionCheck(t, answered, "", 11, 15, false, -1) })
	t.Run("allowed after revocation", func(t *testing.T) { assertPermissionCheck(t, answered, "", 13, 14, true, -1) })
	t.Run("refused after revocation", func(t *testing.T) { assertPermissionCheck(t, refused, plan, 13, 14, false, 0) })
	t.Run("refused after grant", func(t *testing.T) { assertPermissionCheck(t, refused, plan, 22, 23, true, -1) })
	t.Run("allowed after grant", func(t *testing.T) { assertPermissionCheck(t, answered, "", 22, 23, false, 1) })
	t.Run("listed customer refused as unknown", func(t *testing.T) {
		assertPermissionCheck(t, refused, basillift.ReasonCustomer, 13, 14, true, -1)
	})
}

// Guards against edits that change no permission of the calling customers.
func TestEdits(t *testing.T) {
	is := is.New(t)
	l := NewLists([]string{"a", "b", "c"})
	countAllowed := func() int {
		count := 0
		for _, c := range callingCustomers() {
			for _, s := range l.services {
				if l.Allows(c, s) {
					count++
				}
			}
		}
		return count
	}
	allAllowed := countAllowed()
	for n := range totalEdits {
		l.ApplyEdit(n)
		is.Equal(countAllowed() == allAllowed, n%2 == 1)
	}
}

// Guards against not detecting a second run, a run of a refused call, or an answer without a
// run.
func TestRuns(t *testing.T) {
	assertFound := func(t *testing.T, runs, ranTwice, ranDespiteRefusal, answeredWithoutRun int, results ...labload.Result) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := CheckRuns(results, map[string]int{"a": runs})
		is.Equal(len(c.ranTwice), ranTwice)
		is.Equal(len(c.ranDespiteRefusal), ranDespiteRefusal)
		is.Equal(len(c.answeredWithoutRun), answeredWithoutRun)
	}
	resultOf := func(k labload.Kind, v labload.Verdict) labload.Result { return newResult("a", k, v, "", 1, 2) }
	keyed, answered, refused := labload.KindKeyed, labload.VerdictAnswered, labload.VerdictRefused
	t.Run("once", func(t *testing.T) { assertFound(t, 1, 0, 0, 0, resultOf(keyed, answered)) })
	t.Run("keyed twice", func(t *testing.T) { assertFound(t, 2, 1, 0, 0, resultOf(keyed, answered), resultOf(keyed, answered)) })
	t.Run("post twice", func(t *testing.T) { assertFound(t, 2, 1, 0, 0, resultOf(labload.KindPost, labload.VerdictUnknown)) })
	t.Run("get twice", func(t *testing.T) { assertFound(t, 2, 0, 0, 0, resultOf(labload.KindGet, answered)) })
	t.Run("refused but ran", func(t *testing.T) { assertFound(t, 1, 0, 1, 0, resultOf(keyed, refused)) })
	t.Run("refused, then ran", func(t *testing.T) { assertFound(t, 1, 0, 0, 0, resultOf(keyed, refused), resultOf(keyed, answered)) })
	t.Run("ran, then refused", func(t *testing.T) { assertFound(t, 1, 0, 0, 0, resultOf(keyed, answered), resultOf(keyed, refused)) })
	t.Run("unreached but ran", func(t *testing.T) { assertFound(t, 1, 0, 1, 0, resultOf(keyed, labload.VerdictUnreached)) })
	t.Run("answered without a run", func(t *testing.T) { assertFound(t, 0, 0, 0, 1, resultOf(keyed, answered)) })
}

// Guards against attributing a lost call to a kill that did not cause the loss.
func TestCount(t *testing.T) {
	assertCounts := func(t *testing.T, v labload.Verdict, k Kill, lost, wrong, cutByKill int) {
		t.Helper()
		is := is.NewRelaxed(t)
		c := CountVerdicts([]labload.Result{newResult("a", labload.KindGet, v, "", 1, 5)}, k)
		is.Equal(c.lost, lost)
		is.Equal(c.wrong, wrong)
		is.Equal(c.cutByKill, cutByKill)
	}
	t.Run("own daemon killed", func(t *testing.T) { assertCounts(t, labload.VerdictCut, Kill{"vm1", testTime(4)}, 0, 0, 1) })
	t.Run("before the kill", func(t *testing.T) { assertCounts(t, labload.VerdictCut, Kill{"vm1", testTime(6)}, 1, 0, 0) })
	t.Run("other daemon killed", func(t *testing.T) { assertCounts(t, labload.VerdictLost, Kill{"vm2", testTime(4)}, 1, 0, 0) })
	t.Run("wrong answer despite the kill", func(t *testing.T) { assertCounts(t, labload.VerdictWrong, Kill{"vm1", testTime(4)}, 0, 1, 0) })
	t.Run("skipped", func(t *testing.T) { assertCounts(t, labload.VerdictSkipped, Kill{}, 1, 0, 0) })
	t.Run("unknown", func(t *testing.T) { assertCounts(t, labload.VerdictUnknown, Kill{}, 0, 0, 0) })
}

// Guards against a check of a planned stop that has no calls in flight, or that misses calls
// which the stop interrupted.
func TestInterrupted(t *testing.T) {
	is := is.New(t)
	repeat := labload.NewResult(newResult("r", "", "", "", 0, 0).Call().AsRepeat(testTime(4), "vm1"), labload.VerdictUnknown, "", testTime(4), testTime(5))
	results := []labload.Result{
		newResult("before", labload.KindGet, labload.VerdictCut, "", 1, 2),
		newResult("answered", labload.KindGet, labload.VerdictAnswered, "", 1, 4),
		newResult("cut", labload.KindGet, labload.VerdictCut, "", 2, 4),
		newResult("unknown", labload.KindPost, labload.VerdictUnknown, "", 4, 5),
		newResult("refused", labload.KindPost, labload.VerdictRefused, "", 4, 5),
		newResult("after", labload.KindGet, labload.VerdictLost, "", 4, 7),
		repeat,
		newResult("ownerless", labload.KindKeyed, labload.VerdictUnknown, basillift.ReasonKeyUnknown, 4, 5),
		newResult("ran", labload.KindKeyed, labload.VerdictUnknown, basillift.ReasonKeyUnknown, 4, 5),
	}
	runs := map[string]int{"ran": 1}
	is.Equal(countInFlight(results, "vm1", testTime(3)), 2)
	is.Equal(countInFlight(results, "vm2", testTime(3)), 0)
	is.Equal(interruptedCalls(results, runs, testTime(3), testTime(6)), []string{results[2].String(), results[3].String(), results[8].String()})
	is.Equal(countWithoutOwners(results, runs), 1)
}

// Guards against missing a version regression because a later reading is higher again.
func TestWatcher(t *testing.T) {
	is := is.New(t)
	w := newWatcher(VM{name: "vm1"}, nil, nil)
	w.expect(2)
	for i, r := range []uint64{1, 3, 2, 4} {
		w.observe(testTime(i), basillift.NewVersion(1, r))
	}
	is.Equal(w.versionRegressions(), []string{"vm1 went from 1.3 back to 1.2"})
	when, ok := w.reachedAt(2)
	is.True(ok)
	is.Equal(when, testTime(1))
}

// passingEvidence returns evidence with which all checks pass.
func passingEvidence() evidence {
	return evidence{
		editCount: 1, convergence: hdrhistogram.New(1, 1000, 3),
		permissions: PermissionCheck{callsShowingEdit: map[int]int{0: 1}, allowed: 100, answered: 95},
		drainedAt:   testTime(5), startsBeforeDrain: 1, lastStartAtDrained: testTime(7), inFlightAtStop: 1, controlBytes: 1,
	}
}

// Guards against a check that passes regardless of the evidence.
func TestChecks(t *testing.T) {
	assertFailedChecks := func(t *testing.T, count int, modify func(*evidence)) {
		t.Helper()
		e := passingEvidence()
		modify(&e)
		failed := 0
		for _, c := range e.checks() {
			if !c.ok {
				failed++
			}
		}
		is.New(t).Equal(failed, count)
		is.New(t).Equal(newReport(e).OK(), count == 0)
	}
	findings := []string{"found"}
	t.Run("all pass", func(t *testing.T) { assertFailedChecks(t, 0, func(*evidence) {}) })
	t.Run("late edit", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.lateEdits = findings }) })
	t.Run("edit without calls", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.editCount = 2 }) })
	t.Run("against the lists", func(t *testing.T) {
		assertFailedChecks(t, 1, func(e *evidence) { e.permissions.violations = findings })
	})
	t.Run("version regression", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.versionRegressions = findings }) })
	t.Run("lost", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.verdicts.lost = 1 }) })
	t.Run("wrong", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.verdicts.wrong = 1 }) })
	t.Run("twice", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.runs.ranTwice = findings }) })
	t.Run("refused but ran", func(t *testing.T) {
		assertFailedChecks(t, 1, func(e *evidence) { e.runs.ranDespiteRefusal = findings })
	})
	t.Run("answer without a run", func(t *testing.T) {
		assertFailedChecks(t, 1, func(e *evidence) { e.runs.answeredWithoutRun = findings })
	})
	t.Run("runs not counted", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.droppedRuns = 1 }) })
	t.Run("late call at the drained target", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.lastStartAtDrained = testTime(8) }) })
	t.Run("no calls before the drain", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.startsBeforeDrain = 0 }) })
	t.Run("cut by SIGTERM", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.interruptedByStop = findings }) })
	t.Run("interrupted by the drain", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.interruptedByDrain = findings }) })
	t.Run("nothing in flight at SIGTERM", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.inFlightAtStop = 0 }) })
	t.Run("unclean exit", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.uncleanExits = findings }) })
	t.Run("no control bytes", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.controlBytes = 0 }) })
	t.Run("too few answered", func(t *testing.T) { assertFailedChecks(t, 1, func(e *evidence) { e.permissions.answered = 94 }) })
}

// Guards against adding metrics with a longer name, or leaving out samples without labels.
func TestSumMetric(t *testing.T) {
	text := "# HELP a b\na_total{x=\"1\"} 5\na_total{x=\"2\"} 1e3\na_total_more 7\na_total 1\n"
	sum, err := sumMetric([]byte(text), "a_total")
	is.New(t).NoErr(err)
	is.New(t).Equal(sum, uint64(1006))
}

// Guards against meshes whose size differs from the design page, and against VMs that share
// an address.
func TestMesh(t *testing.T) {
	assertSizes := func(t *testing.T, name string, domains, vms int) {
		t.Helper()
		is := is.New(t)
		m, err := NewMesh(name, 20)
		is.NoErr(err)
		is.Equal(len(m.domains), domains)
		is.Equal(len(m.VMs()), vms)
		ips := map[string]bool{}
		for _, v := range m.VMs() {
			ips[v.ip] = true
		}
		is.Equal(len(ips), vms)
		is.Equal(len(m.seeds(m.VMs()[0])), domains-1)
	}
	t.Run("bindery", func(t *testing.T) { assertSizes(t, "bindery", 3, 13) })
	t.Run("ponds", func(t *testing.T) { assertSizes(t, "ponds", 4, 12) })
}
