package blnotice

import (
	"fmt"
	"strings"
	"time"

	"basillift.dev/basillift"
)

// The times after which a lasting state becomes a condition.
const (
	// PlatformAlertDelay is how long the platform may fail before this becomes a condition.
	PlatformAlertDelay = 60 * time.Second
	// VersionLagAlertDelay is how long a daemon may hold an older version than a peer before this becomes a
	// condition. A version must be in force everywhere within 3 s.
	VersionLagAlertDelay = 30 * time.Second
)

// PlatformState is the state of the platform as a reader observes it.
type PlatformState string

// The states of the platform. All except PlatformOK need an operator if they last.
const (
	PlatformOK            PlatformState = "ok"
	PlatformUnreachable   PlatformState = "unreachable"
	PlatformStale         PlatformState = "stale"
	PlatformBudget        PlatformState = "budget"
	PlatformMissing       PlatformState = "missing"
	PlatformRevisionsBack PlatformState = "back"
)

func (s PlatformState) description() string {
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

// View is the state of one daemon from which Detect derives conditions.
type View struct {
	self             basillift.VMID
	platform         PlatformState
	platformStateFor time.Duration
	refusedProblem   string
	services         []string
	members          []basillift.Status
	partitioned      []string
	quarantined      []string
	versionLag       time.Duration
}

// NewView returns the view of a daemon with its declared services and members.
func NewView(self basillift.VMID, services []string, members []basillift.Status) View {
	return View{self: self, services: services, members: members, platform: PlatformOK}
}

// WithPlatform returns a copy with the state of the platform and how long it has lasted.
func (v View) WithPlatform(s PlatformState, duration time.Duration) View {
	v.platform, v.platformStateFor = s, duration
	return v
}

// WithRefused returns a copy with the problem of the newest published version; "" means none.
func (v View) WithRefused(problem string) View {
	v.refusedProblem = problem
	return v
}

// WithPartitioned returns a copy with the failure domains that are partitioned from this daemon.
func (v View) WithPartitioned(failureDomains []string) View {
	v.partitioned = failureDomains
	return v
}

// WithQuarantined returns a copy with the fingerprints of quarantined requests, which are refused.
func (v View) WithQuarantined(fingerprints []string) View {
	v.quarantined = fingerprints
	return v
}

// WithVersionLag returns a copy with the time for which the daemon has held an older version than a peer.
func (v View) WithVersionLag(duration time.Duration) View {
	v.versionLag = duration
	return v
}

// Detect returns the conditions that hold in a view. It keeps no state between calls.
func Detect(v View) []Condition {
	conditions := detectPlatform(v)
	if v.refusedProblem != "" {
		conditions = append(conditions, NewCondition(KindRefused, "lists", v.refusedProblem))
	}
	conditions = append(conditions, detectServices(v)...)
	for _, fd := range v.partitioned {
		conditions = append(conditions, NewCondition(KindPartitioned, fd, "the members of failure domain "+fd+" do not answer"))
	}
	for _, f := range v.quarantined {
		conditions = append(conditions, NewCondition(KindQuarantined, f, "the request with fingerprint "+f+" crashed two targets"))
	}
	if v.versionLag >= VersionLagAlertDelay {
		detail := fmt.Sprintf("%s has held an older version than its peers for %s", v.self, v.versionLag.Round(time.Second))
		conditions = append(conditions, NewCondition(KindVersionLag, "mesh", detail))
	}
	return conditions
}

func detectPlatform(v View) []Condition {
	switch {
	case v.platform == PlatformRevisionsBack:
		return []Condition{NewCondition(KindRevisionsBack, "platform", "the platform answers with lower revisions than before")}
	case v.platform != PlatformOK && v.platform != "" && v.platformStateFor >= PlatformAlertDelay:
		detail := fmt.Sprintf("for %s %s", v.platformStateFor.Round(time.Second), v.platform.description())
		return []Condition{NewCondition(KindPlatform, "platform", detail)}
	default:
		return nil
	}
}

// detectServices finds declared services that have members, none of which accepts requests.
// A service without any member is not installed yet, which is not a failure.
func detectServices(v View) []Condition {
	total, accepting := map[string]int{}, map[string]int{}
	for _, m := range v.members {
		service := m.Member().Service()
		total[service]++
		if m.AcceptsRequests() {
			accepting[service]++
		}
	}
	var conditions []Condition
	for _, s := range v.services {
		if total[s] == 0 || accepting[s] > 0 {
			continue
		}
		detail := fmt.Sprintf("none of the %d targets of service %s takes calls (%s)", total[s], s, targetStates(v.members, s))
		conditions = append(conditions, NewCondition(KindNoTarget, s, detail))
	}
	return conditions
}

func targetStates(members []basillift.Status, service string) string {
	var texts []string
	for _, m := range members {
		if m.Member().Service() == service {
			texts = append(texts, fmt.Sprintf("%s %s %s", m.Member().ID(), m.Liveness(), m.Member().State()))
		}
	}
	return strings.Join(texts, ", ")
}
