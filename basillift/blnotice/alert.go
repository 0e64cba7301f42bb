package blnotice

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

// Kind is what a notice is about.
type Kind string

// The kinds of notices.
const (
	KindRefused     Kind = "version-refused"
	KindPlatform    Kind = "platform-unreachable"
	KindNumbering   Kind = "numbering-back"
	KindNoTarget    Kind = "service-without-target"
	KindPartitioned Kind = "failure-domain-cut-off"
	KindQuarantined Kind = "request-quarantined"
	KindBehind      Kind = "daemons-behind"
)

// Action says what an operator should do about a notice of this kind.
func (k Kind) Action() string {
	switch k {
	case KindRefused:
		return "mend the key and field that the notice names and publish the list again"
	case KindPlatform:
		return "restore the platform; the version in force stays until then"
	case KindNumbering:
		return "raise epoch by one in either list and publish it"
	case KindNoTarget:
		return "start or restore targets of the service"
	case KindPartitioned:
		return "restore the network to the failure domain; it serves its own targets until then"
	case KindQuarantined:
		return "find out why the request crashes its target; it is refused for 10 minutes"
	case KindBehind:
		return "check the network and the load of the VMs that the notice names"
	default:
		return ""
	}
}

// Condition is something that holds now and may need a human.
type Condition struct {
	kind    Kind
	subject string
	detail  string
}

// NewCondition returns a condition. Kind and subject identify the matter; the detail may change while it
// lasts.
func NewCondition(k Kind, subject, detail string) Condition {
	return Condition{kind: k, subject: subject, detail: detail}
}

// Kind is what the condition is about.
func (c Condition) Kind() Kind { return c.kind }

// Subject is the list, service, failure domain or request concerned.
func (c Condition) Subject() string { return c.subject }

// Detail is the text for a human.
func (c Condition) Detail() string { return c.detail }

// ID is the same for one matter on all daemons.
func (c Condition) ID() string {
	return strconv.FormatUint(xxhash.Sum64String(string(c.kind)+"\x00"+c.subject), 16)
}

// Report is what an observer tells the notifier.
type Report struct {
	condition Condition
	since     time.Time
	sent      bool
}

// NewReport returns a report; sent means that a notifier has already sent the notice.
func NewReport(c Condition, since time.Time, sent bool) Report {
	return Report{condition: c, since: since, sent: sent}
}

// Condition is what is reported.
func (r Report) Condition() Condition { return r.condition }

// Since is when the observer first saw the condition.
func (r Report) Since() time.Time { return r.since }

// Sent reports whether a notifier has already sent the notice.
func (r Report) Sent() bool { return r.sent }

// Phase says whether a notice opens or closes a matter.
type Phase string

// The phases of a matter.
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

// Report is what the notice is about.
func (n Notice) Report() Report { return n.report }

// Phase says whether the matter opens or closes.
func (n Notice) Phase() Phase { return n.phase }

// At is when the notice was decided.
func (n Notice) At() time.Time { return n.at }

// Notifier is the member that sends notices: among the members that are not
// dead, the one with the lowest hash of its VM id. All daemons that see each other agree on it.
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
