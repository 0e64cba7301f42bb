package blaudit

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltimeline"
)

// recordedRun is a recorded run of real processes in which no promise was broken, with the events that
// show that the fault was injected. The faulty VM is vm2. The command
// "basilliftlab record --scenario NAME --bin bin --out FILE" records a run again.
type recordedRun struct {
	name      string
	minEvents map[basillift.EventKind]int // minimum number of events that concern vm2
}

func recordedRuns() []recordedRun {
	return []recordedRun{
		{"kill", map[basillift.EventKind]int{
			basillift.EventStarted: 2, basillift.EventMemberDied: 3, basillift.EventMemberReturned: 3,
		}},
		{"pause", map[basillift.EventKind]int{
			basillift.EventStarted: 1, basillift.EventPaused: 1, basillift.EventMemberDied: 3, basillift.EventMemberReturned: 3,
		}},
		{"outage", map[basillift.EventKind]int{basillift.EventStarted: 1, basillift.EventVersionApplied: 4}},
		{"drain", map[basillift.EventKind]int{
			basillift.EventStarted: 2, basillift.EventStopping: 1, basillift.EventTargetState: 3,
		}},
	}
}

func load(t *testing.T, name string) []basillift.Event {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".jsonl"))
	is.New(t).NoErr(err)
	defer func() { _ = file.Close() }()
	events, err := bltimeline.Read(file)
	is.New(t).NoErr(err)
	return events
}

// lacksVersion reports whether a finding concerns a routed call that was recorded without a
// version.
func lacksVersion(f Finding) bool {
	return f.Promise() == NoBadRoute && f.Events()[0].Version().IsZero()
}

// Guards against a daemon that breaks a promise in a run of real processes, and against a
// rule that reports a finding for a permitted run.
func TestRecorded(t *testing.T) {
	for _, c := range recordedRuns() {
		t.Run(c.name, func(t *testing.T) {
			events := load(t, c.name)
			seen := map[basillift.EventKind]int{}
			for _, e := range events {
				if e.Target() == "vm2" || e.VM() == "vm2" && e.Target() == "" {
					seen[e.Kind()]++
				}
			}
			for k, n := range c.minEvents {
				if seen[k] < n {
					t.Errorf("%d events %s, want %d", seen[k], k, n)
				}
			}
			report := Check(events)
			is.New(t).Equal(len(report.Gaps()), 0)
			for _, f := range report.Findings() {
				t.Errorf("promise %d: %s", f.Promise(), f.Text())
			}
		})
	}
}

// Guards against calls that are recorded without the version by which they were routed,
// since the rule for promise 2 cannot check them.
func TestRecordedRoutes(t *testing.T) {
	for _, c := range recordedRuns() {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for _, f := range Check(load(t, c.name)).Findings() {
				if lacksVersion(f) {
					found++
				}
			}
			if found > 0 {
				t.Errorf("%d routed calls were recorded without a version", found)
			}
		})
	}
}
