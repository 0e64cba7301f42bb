package basillift

// VMID names one VM and its daemon.
type VMID string

// FailureDomain names a failure domain.
type FailureDomain string

// Region names a region, which holds several failure domains.
type Region string

// TargetState is the state of a target as reported by its VM's daemon.
type TargetState string

// The states of a target. Only TargetReady accepts all calls; TargetShedding
// accepts some; the others accept none.
const (
	TargetStarting TargetState = "starting"
	TargetReady    TargetState = "ready"
	TargetShedding TargetState = "shedding"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// AcceptsRequests reports whether a target in this state accepts new calls.
func (s TargetState) AcceptsRequests() bool { return s == TargetReady || s == TargetShedding }

// Liveness is the state of one incarnation of a member as the other members judge it.
type Liveness string

// The liveness of a member.
const (
	LivenessAlive   Liveness = "alive"
	LivenessSuspect Liveness = "suspect"
	LivenessDead    Liveness = "dead"
)

// Class is the priority class of a plan.
type Class string

// The priority classes, from first served to last.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Rank orders classes: a lower rank is served first. An unknown class ranks as normal.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassBulk:
		return 2
	default:
		return 1
	}
}

// Outcome says whether a call ran at its target, as far as is known.
type Outcome string

// The outcomes of a call. Only OutcomeNotRun permits sending a non-idempotent call again.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the short code for why a call was refused or failed.
type Reason string

// The reasons for refusing or failing a call.
const (
	ReasonNone          Reason = ""
	ReasonNoVersion     Reason = "no-version"
	ReasonCustomer      Reason = "unknown-customer"
	ReasonService       Reason = "unknown-service"
	ReasonPlan          Reason = "not-in-plan"
	ReasonRate          Reason = "rate"
	ReasonConcurrency   Reason = "concurrency"
	ReasonOverload      Reason = "overload"
	ReasonDeadline      Reason = "deadline"
	ReasonDepth         Reason = "depth"
	ReasonNoTarget      Reason = "no-target"
	ReasonDraining      Reason = "draining"
	ReasonEvacuated     Reason = "evacuated"
	ReasonTarget        Reason = "target"
	ReasonQuarantined   Reason = "quarantined"
	ReasonDuplicate     Reason = "duplicate"
	ReasonKeyUnknown    Reason = "key-unknown"
	ReasonCallerGone    Reason = "caller-gone"
	ReasonTruncated     Reason = "truncated"
	ReasonBadRequest    Reason = "bad-request"
	ReasonConnectFailed Reason = "connect-failed"
)

// Purpose is what a control message is for. Control bytes are counted for each purpose.
type Purpose string

// The purposes of control messages.
const (
	PurposeConfiguration Purpose = "configuration"
	PurposeMembership    Purpose = "membership"
	PurposeTarget        Purpose = "target"
	PurposeRepair        Purpose = "repair"
)
