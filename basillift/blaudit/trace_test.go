package blaudit

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltimeline"
)

// trace is a recorded run of real processes with its stated outcome: which events show
// that the fault happened, and that no promise was broken. The victim is vm2.
// "basilliftlab record --scenario NAME --bin bin --out FILE" records one again.
type trace struct {
	name     string
	evidence map[basillift.EventKind]int // least number of events that concern the victim
}

func traces() []trace {
	return []trace{
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

// versionless reports whether a finding is a routed call that was recorded without a version.
func versionless(f Finding) bool {
	return f.Promise() == NoBadRoute && f.Events()[0].Version().IsZero()
}

// Guards against a daemon that breaks a promise in a run of real processes, and against a
// rule that calls a permitted run broken.
func TestRecorded(t *testing.T) {
	for _, c := range traces() {
		t.Run(c.name, func(t *testing.T) {
			events := load(t, c.name)
			seen := map[basillift.EventKind]int{}
			for _, e := range events {
				if e.Target() == "vm2" || e.VM() == "vm2" && e.Target() == "" {
					seen[e.Kind()]++
				}
			}
			for k, n := range c.evidence {
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

// Guards against calls that are recorded without the version by which they were routed:
// the rule for promise 2 cannot be checked for them.
func TestRecordedRoutes(t *testing.T) {
	for _, c := range traces() {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for _, f := range Check(load(t, c.name)).Findings() {
				if versionless(f) {
					found++
				}
			}
			if found > 0 {
				t.Errorf("%d calls were routed by no version", found)
			}
		})
	}
}
