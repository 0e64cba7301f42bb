package blidempotency

import "basillift.dev/basillift"

// maxAnswer is the largest response that a ClaimStore stores, in bytes.
const maxAnswer = 8 << 10

// Answer is how a call with a key ended.
type Answer struct {
	outcome basillift.Outcome
	status  int
	media   string
	body    []byte
}

// Done returns the answer of a call that ran; media is its Content-Type. A body
// above 8 KB is dropped, and a repeat then gets unknown.
func Done(status int, media string, body []byte) Answer {
	if len(body) > maxAnswer {
		return Unknown()
	}
	return Answer{outcome: basillift.OutcomeDone, status: status, media: media, body: body}
}

// NotRun returns the answer of a call that certainly did not run; it gives the claim back.
func NotRun() Answer { return Answer{outcome: basillift.OutcomeNotRun} }

// Unknown returns the answer of a call that may have run.
func Unknown() Answer { return Answer{outcome: basillift.OutcomeUnknown} }

// Outcome is what is known about the call.
func (a Answer) Outcome() basillift.Outcome { return a.outcome }

// Status is the HTTP status.
func (a Answer) Status() int { return a.status }

// Media is the Content-Type of the body.
func (a Answer) Media() string { return a.media }

// Body is the response body. The caller must not change it.
func (a Answer) Body() []byte { return a.body }

// GrantKind is an owner's reply to a claim.
type GrantKind string

// The replies to a claim.
const (
	// GrantGiven means that the call holds the key at this owner.
	GrantGiven GrantKind = "granted"
	// GrantRunning means that another call holds the key and has not ended.
	GrantRunning GrantKind = "running"
	// GrantAnswered means that another call ran and its answer is known.
	GrantAnswered GrantKind = "answered"
	// GrantUnknown means that another call may have run and its answer is lost.
	GrantUnknown GrantKind = "unknown"
	// GrantCold means that the owner may have forgotten the key in a restart.
	GrantCold GrantKind = "cold"
	// GrantOld means that the key is older than any owner's memory.
	GrantOld GrantKind = "old"
	// GrantFull means that the owner has no room; it does not know the key.
	GrantFull GrantKind = "full"
)

// Grant is an owner's reply to a claim.
type Grant struct {
	kind   GrantKind
	answer Answer
}

// NewGrant returns a reply, for decoding. Only GrantAnswered has an answer.
func NewGrant(kind GrantKind, a Answer) Grant { return Grant{kind: kind, answer: a} }

// Kind is the reply.
func (g Grant) Kind() GrantKind { return g.kind }

// Answer is the stored answer of the call that ran.
func (g Grant) Answer() Answer { return g.answer }
