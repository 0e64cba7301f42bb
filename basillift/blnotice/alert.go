package blnotice

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

// Kind is the kind of condition that a notice reports.
type Kind string

// The kinds of notices.
const (
	KindRefused       Kind = "version-refused"
	KindPlatform      Kind = "platform-unreachable"
	KindRevisionsBack Kind = "numbering-back"
	KindNoTarget      Kind = "service-without-target"
	KindPartitioned   Kind = "failure-domain-cut-off"
	KindQuarantined   Kind = "request-quarantined"
	KindVersionLag    Kind = "daemons-behind"
)

// Action says what an operator should do about a notice of this kind; it is empty for an unknown kind.
func (k Kind) Action() string {
	switch k {
	case KindRefused:
		return "mend the key and field that the notice names and publish the list again"
	case KindPlatform:
		return "restore the platform; the version in force stays until then"
	case KindRevisionsBack:
		return "raise epoch by one in either list and publish it"
	case KindNoTarget:
		return "start or restore targets of the service"
	case KindPartitioned:
		return "restore the network to the failure domain; it serves its own targets until then"
	case KindQuarantined:
		return "find out why the request crashes its target; it is refused for 10 minutes"
	case KindVersionLag:
		return "check the network and the load of the VMs that the notice names"
	default:
		return ""
	}
}

// Condition is a state of the mesh, seen by one daemon, that may need an operator.
type Condition struct {
	kind    Kind
	subject string
	detail  string
}

// NewCondition returns a condition. Kind and subject identify the alert; the detail may change while the
// condition lasts.
func NewCondition(k Kind, subject, detail string) Condition {
	return Condition{kind: k, subject: subject, detail: detail}
}

// Kind is the kind of the condition.
func (c Condition) Kind() Kind { return c.kind }

// Subject is the list, service, failure domain or request concerned.
func (c Condition) Subject() string { return c.subject }

// Detail describes the condition for an operator.
func (c Condition) Detail() string { return c.detail }

// ID is a hash of kind and subject, so that all daemons use the same id for an alert.
func (c Condition) ID() string {
	return strconv.FormatUint(xxhash.Sum64String(string(c.kind)+"\x00"+c.subject), 16)
}

// Report is a condition that an observer reports to the notifier.
type Report struct {
	condition Condition
	since     time.Time
	sent      bool
}

// NewReport returns a report; sent means that a notifier has already sent the notice.
func NewReport(c Condition, since time.Time, sent bool) Report {
	return Report{condition: c, since: since, sent: sent}
}

// Condition is the reported condition.
func (r Report) Condition() Condition { return r.condition }

// Since is when the observer first observed the condition.
func (r Report) Since() time.Time { return r.since }

// Sent reports whether a notifier has already sent the notice.
func (r Report) Sent() bool { return r.sent }

// Phase says whether a notice opens or closes an alert.
type Phase string

// The phases of an alert.
const (
	PhaseOpen   Phase = "open"
	PhaseClosed Phase = "closed"
)

// Notice is one message to operators.
type Notice struct {
	report Report
	phase  Phase
	at     time.Time
}

// Report is the report that opened the alert.
func (n Notice) Report() Report { return n.report }

// Phase says whether the alert opens or closes.
func (n Notice) Phase() Phase { return n.phase }

// At is the time of the decision to send the notice; for a listed open alert it is when the condition began.
func (n Notice) At() time.Time { return n.at }

// Notifier returns the member that sends notices: the one with the lowest hash of its VM id among the
// members that are neither dead nor gone. All daemons with the same view choose the same member. It is empty
// if there is no such member.
func Notifier(members []basillift.Status) basillift.VMID {
	var chosen basillift.VMID
	var lowest uint64
	for _, m := range members {
		if m.Liveness() == basillift.LivenessDead || m.Member().State() == basillift.TargetGone {
			continue
		}
		id := m.Member().ID()
		hash := xxhash.Sum64String(string(id))
		if chosen == "" || cmp.Or(cmp.Compare(hash, lowest), cmp.Compare(id, chosen)) < 0 {
			chosen, lowest = id, hash
		}
	}
	return chosen
}
