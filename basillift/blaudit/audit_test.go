package blaudit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// recorder builds a small timeline with 100 ms between steps.
type recorder struct {
	events    []basillift.Event
	sequences map[basillift.VMID]uint64
	now       time.Time
}

func record(steps ...func(*recorder)) []basillift.Event {
	r := &recorder{sequences: map[basillift.VMID]uint64{}, now: time.Unix(1000, 0)}
	for _, s := range steps {
		r.now = r.now.Add(100 * time.Millisecond)
		s(r)
	}
	return r.events
}

func on(vm basillift.VMID, e func(time.Time) basillift.Event) func(*recorder) {
	return func(r *recorder) {
		r.sequences[vm]++
		r.events = append(r.events, e(r.now).WithOrigin(vm, 1, r.sequences[vm]))
	}
}

func wait(d time.Duration) func(*recorder) {
	return func(r *recorder) { r.now = r.now.Add(d) }
}

func kind(k basillift.EventKind) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event { return basillift.NewEvent(now, k) }
}

func version(k basillift.EventKind, revision, digest uint64) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return basillift.NewEvent(now, k).WithVersion(basillift.NewVersion(1, revision), digest)
	}
}

func applied(revision uint64) func(time.Time) basillift.Event {
	return version(basillift.EventVersionApplied, revision, revision)
}

func call(k basillift.EventKind, id string) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return basillift.NewEvent(now, k).WithCall(id, "kobuleti", "reservations", "POST")
	}
}

func outcome(k basillift.EventKind, id string, o basillift.Outcome, r basillift.Reason) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event { return call(k, id)(now).WithOutcome(o, r, 503) }
}

func keyed(k basillift.EventKind, id string) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event { return call(k, id)(now).WithKey("key-1") }
}

func routed(id string, to basillift.VMID) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return call(basillift.EventCallRouted, id)(now).WithTarget(to).WithVersion(basillift.NewVersion(1, 1), 1)
	}
}

func joined(vm basillift.VMID) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return basillift.NewEvent(now, basillift.EventMemberJoined).WithTarget(vm)
	}
}

func state(s basillift.TargetState) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return basillift.NewEvent(now, basillift.EventTargetState).WithState(s)
	}
}

func reportedState(vm basillift.VMID, s basillift.TargetState) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event { return state(s)(now).WithTarget(vm) }
}

func gracefulStop(interruptedCalls int) func(time.Time) basillift.Event {
	return func(now time.Time) basillift.Event {
		return basillift.NewEvent(now, basillift.EventStopped).WithOutcome("", "", interruptedCalls)
	}
}

func assertFindings(t *testing.T, events []basillift.Event, want ...Promise) {
	t.Helper()
	var got []Promise
	for _, f := range Check(events).Findings() {
		got = append(got, f.Promise())
		t.Log(f.Promise(), f.Text())
	}
	is.New(t).Equal(got, want)
}

// Guards against a finding for a run in which every promise was kept.
func TestKeptPromises(t *testing.T) {
	assertFindings(t, record(
		on("a", applied(1)), on("b", applied(1)), on("a", joined("b")),
		on("a", call(basillift.EventCallAccepted, "c1")), on("a", routed("c1", "b")),
		on("b", call(basillift.EventCallAdmitted, "c1")), on("b", call(basillift.EventCallStarted, "c1")),
		on("b", outcome(basillift.EventCallEnded, "c1", basillift.OutcomeDone, "")),
		on("a", call(basillift.EventCallAnswered, "c1")),
		on("b", state(basillift.TargetDraining)), on("a", routed("c2", "b")),
		on("a", applied(2)), on("b", applied(2)), wait(4*time.Second),
		on("b", kind(basillift.EventStopping)), on("b", gracefulStop(0)),
	))
}

// Guards against a violation that its rule does not find.
func TestBrokenPromises(t *testing.T) {
	cases := []struct {
		name   string
		events []basillift.Event
		want   Promise
	}{
		{"older version", record(on("a", applied(2)), on("a", applied(1))), NoOlderVersion},
		{"same version again", record(on("a", applied(2)), on("a", applied(2))), NoOlderVersion},
		{"route by a version not in force", record(on("a", joined("b")), on("a", routed("c1", "b"))), NoBadRoute},
		{"route to an unknown target", record(on("a", applied(1)), on("a", routed("c1", "b"))), NoBadRoute},
		{
			"two contents of one version",
			record(on("a", applied(1)), on("b", version(basillift.EventVersionApplied, 1, 9))), AllOrNone,
		},
		{
			"refused version in force",
			record(on("a", version(basillift.EventVersionRefused, 1, 0)), on("b", applied(1))), AllOrNone,
		},
		{
			"two answers",
			record(on("a", call(basillift.EventCallAccepted, "c1")), on("a", call(basillift.EventCallAnswered, "c1")),
				on("a", call(basillift.EventCallAnswered, "c1"))), WholeAnswer,
		},
		{
			"no answer before a graceful shutdown",
			record(on("a", call(basillift.EventCallAccepted, "c1")), on("a", gracefulStop(0))), WholeAnswer,
		},
		{
			"refused as not run but ran",
			record(on("a", call(basillift.EventCallAccepted, "c1")), on("b", call(basillift.EventCallStarted, "c1")),
				on("a", outcome(basillift.EventCallRefused, "c1", basillift.OutcomeNotRun, basillift.ReasonTarget))), NotRunMeansNotRun,
		},
		{
			"call ran on two targets",
			record(on("b", call(basillift.EventCallStarted, "c1")), on("c", call(basillift.EventCallStarted, "c1"))), AtMostOnce,
		},
		{
			"key ran for two calls",
			record(on("b", keyed(basillift.EventCallStarted, "c1")), on("c", keyed(basillift.EventCallStarted, "c2"))), AtMostOnce,
		},
		{
			"routed to a leaving target",
			record(on("a", applied(1)), on("a", joined("b")), on("b", state(basillift.TargetDraining)),
				wait(3*time.Second), on("a", routed("c1", "b"))), NoNewWork,
		},
		{
			"admitted while leaving",
			record(on("b", state(basillift.TargetDraining)), on("b", call(basillift.EventCallAdmitted, "c1"))), NoNewWork,
		},
		{
			"drain hidden by the state of another target",
			record(on("a", applied(1)), on("a", joined("b")), on("b", state(basillift.TargetDraining)),
				on("b", reportedState("c", basillift.TargetReady)), wait(3*time.Second), on("a", routed("c1", "b"))), NoNewWork,
		},
		{"shutdown interrupted a call", record(on("a", kind(basillift.EventStopping)), on("a", gracefulStop(1))), GracefulStop},
		{
			"daemon stays behind",
			record(on("b", applied(1)), on("a", applied(1)), on("a", applied(2)), wait(4*time.Second),
				on("b", kind(basillift.EventReaderStarted))), InForce,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertFindings(t, c.events, c.want) })
	}
}

// Guards against findings for behavior that the promises permit.
func TestPermitted(t *testing.T) {
	cases := []struct {
		name   string
		events []basillift.Event
	}{
		{
			"second attempt after the target said not run",
			record(on("b", call(basillift.EventCallStarted, "c1")),
				on("b", outcome(basillift.EventCallEnded, "c1", basillift.OutcomeNotRun, basillift.ReasonTarget)),
				on("c", call(basillift.EventCallStarted, "c1"))),
		},
		{
			"daemon behind was declared dead",
			record(on("b", applied(1)), on("a", applied(1)), on("a", applied(2)),
				on("a", func(now time.Time) basillift.Event {
					return basillift.NewEvent(now, basillift.EventMemberDied).WithTarget("b")
				}), wait(4*time.Second), on("b", kind(basillift.EventReaderStarted))),
		},
		{
			// As in testdata/drain.jsonl, each daemon records the drains that other daemons report.
			"another target drains",
			record(on("a", applied(1)), on("a", joined("b")), on("b", reportedState("c", basillift.TargetDraining)),
				on("b", call(basillift.EventCallAdmitted, "c1")), wait(3*time.Second), on("a", routed("c1", "b"))),
		},
		{
			"target is ready again",
			record(on("a", applied(1)), on("a", joined("b")), on("b", state(basillift.TargetDraining)),
				on("b", state(basillift.TargetReady)), wait(3*time.Second), on("a", routed("c1", "b"))),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertFindings(t, c.events) })
	}
}

// Guards against a recording with dropped events that is reported as complete.
func TestGapsAreReported(t *testing.T) {
	events := record(on("a", applied(1)), on("a", applied(2)), on("a", applied(3)))
	is.New(t).Equal(Check([]basillift.Event{events[0], events[2]}).Gaps(), []basillift.VMID{"a"})
}
