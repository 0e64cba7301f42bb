package blnotice

import (
	"fmt"
	"strings"
	"time"

	"basillift.dev/basillift"
)

// The times after which a state needs a human.
const (
	// PlatformAfter is how long the platform may fail before it is a condition.
	PlatformAfter = 60 * time.Second
	// BehindAfter is how long a daemon may hold an older version than a peer; the
	// bound for a version to be in force everywhere is 3 s.
	BehindAfter = 30 * time.Second
)

// PlatformState is how a reader finds the platform.
type PlatformState string

// The states of the platform that need a human when they last.
const (
	PlatformOK          PlatformState = "ok"
	PlatformUnreachable PlatformState = "unreachable"
	PlatformStale       PlatformState = "stale"
	PlatformBudget      PlatformState = "budget"
	PlatformMissing     PlatformState = "missing"
	PlatformBack        PlatformState = "back"
)

func (s PlatformState) text() string {
	switch s {
	case PlatformStale:
		return "the platform has answered with older revisions than before"
	case PlatformBudget:
		return "the platform has refused reads because its read budget is used up"
	case PlatformMissing:
		return "the platform has had no value for one of the lists"
	default:
		return "the platform has not answered"
	}
}

// View is what a daemon knows when it looks for conditions.
type View struct {
	self        basillift.VMID
	platform    PlatformState
	lasted      time.Duration
	refused     string
	services    []string
	members     []basillift.Status
	cut         []string
	quarantined []string
	behind      time.Duration
}

// NewView returns the view of a daemon with its declared services and members.
func NewView(self basillift.VMID, services []string, members []basillift.Status) View {
	return View{self: self, services: services, members: members, platform: PlatformOK}
}

// WithPlatform returns a copy with the state in which the platform has been for the given time.
func (v View) WithPlatform(s PlatformState, lasted time.Duration) View {
	v.platform, v.lasted = s, lasted
	return v
}

// WithRefused returns a copy with the problem of the newest published version; "" means none.
func (v View) WithRefused(problem string) View {
	v.refused = problem
	return v
}

// WithPartitioned returns a copy with the failure domains that are cut off.
func (v View) WithPartitioned(failureDomains []string) View {
	v.cut = failureDomains
	return v
}

// WithQuarantined returns a copy with the fingerprints of requests that are refused.
func (v View) WithQuarantined(fingerprints []string) View {
	v.quarantined = fingerprints
	return v
}

// WithBehind returns a copy with the time for which the daemon has held an older version than a peer.
func (v View) WithBehind(lasted time.Duration) View {
	v.behind = lasted
	return v
}

// Detect returns the conditions that hold in a view.
func Detect(v View) []Condition {
	conditions := detectPlatform(v)
	if v.refused != "" {
		conditions = append(conditions, NewCondition(KindRefused, "lists", v.refused))
	}
	conditions = append(conditions, detectServices(v)...)
	for _, fd := range v.cut {
		conditions = append(conditions, NewCondition(KindPartitioned, fd, "the members of failure domain "+fd+" do not answer"))
	}
	for _, f := range v.quarantined {
		conditions = append(conditions, NewCondition(KindQuarantined, f, "the request with fingerprint "+f+" crashed two targets"))
	}
	if v.behind >= BehindAfter {
		detail := fmt.Sprintf("%s has held an older version than its peers for %s", v.self, v.behind.Round(time.Second))
		conditions = append(conditions, NewCondition(KindBehind, "mesh", detail))
	}
	return conditions
}

func detectPlatform(v View) []Condition {
	switch {
	case v.platform == PlatformBack:
		return []Condition{NewCondition(KindNumbering, "platform", "the platform answers with lower revisions than before")}
	case v.platform != PlatformOK && v.platform != "" && v.lasted >= PlatformAfter:
		detail := fmt.Sprintf("for %s %s", v.lasted.Round(time.Second), v.platform.text())
		return []Condition{NewCondition(KindPlatform, "platform", detail)}
	default:
		return nil
	}
}

// detectServices finds declared services that have members but no willing one.
// A service without any member is not yet installed, which is no failure.
func detectServices(v View) []Condition {
	total, willing := map[string]int{}, map[string]int{}
	for _, m := range v.members {
		service := m.Member().Service()
		total[service]++
		if m.AcceptsRequests() {
			willing[service]++
		}
	}
	var conditions []Condition
	for _, s := range v.services {
		if total[s] == 0 || willing[s] > 0 {
			continue
		}
		detail := fmt.Sprintf("none of the %d targets of service %s takes calls (%s)", total[s], s, states(v.members, s))
		conditions = append(conditions, NewCondition(KindNoTarget, s, detail))
	}
	return conditions
}

func states(members []basillift.Status, service string) string {
	var texts []string
	for _, m := range members {
		if m.Member().Service() == service {
			texts = append(texts, fmt.Sprintf("%s %s %s", m.Member().ID(), m.Liveness(), m.Member().State()))
		}
	}
	return strings.Join(texts, ", ")
}
