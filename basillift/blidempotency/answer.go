package blidempotency

import "basillift.dev/basillift"

// maxAnswerBytes limits the response body that a ClaimStore stores for one key.
const maxAnswerBytes = 8 << 10

// Answer is the result of a call with a key.
type Answer struct {
	outcome basillift.Outcome
	status  int
	media   string
	body    []byte
}

// Done returns the answer of a call that ran; media is its Content-Type. For a body
// above 8 KB it returns Unknown instead, and a retry then gets unknown.
func Done(status int, media string, body []byte) Answer {
	if len(body) > maxAnswerBytes {
		return Unknown()
	}
	return Answer{outcome: basillift.OutcomeDone, status: status, media: media, body: body}
}

// NotRun returns the answer of a call that certainly did not run. Settling it
// releases the claim.
func NotRun() Answer { return Answer{outcome: basillift.OutcomeNotRun} }

// Unknown returns the answer of a call that may have run.
func Unknown() Answer { return Answer{outcome: basillift.OutcomeUnknown} }

// Outcome tells whether the call ran, did not run or may have run.
func (a Answer) Outcome() basillift.Outcome { return a.outcome }

// Status is the HTTP status code, or 0 without a stored response.
func (a Answer) Status() int { return a.status }

// ContentType is the Content-Type of the body.
func (a Answer) ContentType() string { return a.media }

// Body is the response body. The caller must not modify it.
func (a Answer) Body() []byte { return a.body }

// GrantKind is the kind of an owner's reply to a claim.
type GrantKind string

// The kinds of replies to a claim.
const (
	// GrantGiven means that the owner granted the key to the call.
	GrantGiven GrantKind = "granted"
	// GrantRunning means that another call was granted the key and has not ended.
	GrantRunning GrantKind = "running"
	// GrantAnswered means that another call ran and its answer is known.
	GrantAnswered GrantKind = "answered"
	// GrantUnknown means that another call may have run and its answer is not known.
	GrantUnknown GrantKind = "unknown"
	// GrantCold means that the owner may have lost a claim of the key in a restart, or
	// that the key's creation time is more than maxClockSkew ahead of the owner's clock.
	GrantCold GrantKind = "cold"
	// GrantOld means that the key is older than the time for which owners keep claims.
	GrantOld GrantKind = "old"
	// GrantFull means that the owner has no claim of the key and no space for one.
	GrantFull GrantKind = "full"
)

// Grant is an owner's reply to a claim. It need not grant the key.
type Grant struct {
	kind   GrantKind
	answer Answer
}

// NewGrant returns a reply that was received from an owner. Only GrantAnswered has an
// answer.
func NewGrant(kind GrantKind, a Answer) Grant { return Grant{kind: kind, answer: a} }

// Kind tells whether the key was granted, or why not.
func (g Grant) Kind() GrantKind { return g.kind }

// Answer is the stored answer of the call that ran. It is empty for all kinds other
// than GrantAnswered.
func (g Grant) Answer() Answer { return g.answer }
