package blnotice

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func member(id basillift.VMID, service string, s basillift.TargetState, l basillift.Liveness) basillift.Status {
	m := basillift.NewMember(id, 1, basillift.Addresses{}, basillift.Place{}, service, 1).WithState(s)
	return basillift.NewStatus(m, l, false)
}

// Guards against conditions that are missed, and against alerts for short failures that need no operator.
func TestDetect(t *testing.T) {
	ready := member("a", "orders", basillift.TargetReady, basillift.LivenessAlive)
	dead := member("b", "orders", basillift.TargetReady, basillift.LivenessDead)
	view := NewView("a", []string{"orders", "unused"}, []basillift.Status{ready, dead})
	cases := []struct {
		name string
		view View
		want string
	}{
		{"no condition", view, ""},
		{"no target accepts requests", NewView("a", []string{"orders"}, []basillift.Status{dead}), "service-without-target orders"},
		{"short platform outage", view.WithPlatform(PlatformUnreachable, time.Second), ""},
		{"long platform outage", view.WithPlatform(PlatformUnreachable, time.Minute), "platform-unreachable platform"},
		{"numbering back", view.WithPlatform(PlatformRevisionsBack, 0), "numbering-back platform"},
		{"refused", view.WithRefused("plans: plans.0.rate: found -1"), "version-refused lists"},
		{"partitioned failure domain", view.WithPartitioned([]string{"bangor"}), "failure-domain-cut-off bangor"},
		{"quarantined", view.WithQuarantined([]string{"ff"}), "request-quarantined ff"},
		{"short version lag", view.WithVersionLag(time.Second), ""},
		{"version lag", view.WithVersionLag(time.Minute), "daemons-behind mesh"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, d := range Detect(c.view) {
				got = append(got, string(d.Kind())+" "+d.Subject())
				is.New(t).True(d.Detail() != "" && d.Kind().Action() != "")
			}
			is.New(t).Equal(strings.Join(got, "; "), c.want)
		})
	}
}

// Guards against a lag that is still reported after the daemon has caught up, and against one that is not
// reported although the daemon never catches up.
func TestLag(t *testing.T) {
	is := is.New(t)
	var l VersionLag
	older, newer := basillift.NewVersion(1, 1), basillift.NewVersion(1, 2)
	is.Equal(l.Observe(start, older, newer), time.Duration(0))
	is.Equal(l.Observe(start.Add(time.Minute), older, newer), time.Minute)
	is.Equal(l.Observe(start.Add(time.Minute), newer, newer), time.Duration(0))
	is.Equal(l.Observe(start.Add(2*time.Minute), older, newer), time.Duration(0))
}
