package blidempotency

import (
	"container/list"
	"time"

	"basillift.dev/basillift"
)

const (
	// maxClaims is the maximum number of keys that one owner keeps.
	maxClaims = 65_536
	// maxStoredBytes limits the total size of all stored bodies; see the package
	// comment.
	maxStoredBytes = 64 << 20
	// keyLifetime is how long a key is protected.
	keyLifetime = 10 * time.Minute
	// restartMargin is the minimum time between the start of an owner and the creation
	// of a key that it grants.
	restartMargin = 30 * time.Second
	// maxClockSkew is how far a key's creation time may be ahead of the owner's clock.
	// It must be below restartMargin, or a restarted owner could grant the key again.
	maxClockSkew = 10 * time.Second
	// maxRunningTime is how long a claim without an answer counts as running. After
	// that the claimer has probably crashed, so the owner answers unknown rather than
	// "try again later".
	maxRunningTime = time.Minute
)

// ClaimStore holds the claims of the keys that one daemon owns. It is not safe for
// concurrent use.
type ClaimStore struct {
	startedAt   time.Time
	latestTime  time.Time
	claims      map[string]*list.Element
	byGrantTime *list.List // of *claim, by grant time
	storedBytes int
	limit       int
}

// claim is a granted key. An answer with an empty outcome means that the call has not
// ended.
type claim struct {
	key       Key
	call      string
	grantedAt time.Time
	answer    Answer
}

// NewClaimStore returns an empty store for a daemon whose process started at the given
// time.
func NewClaimStore(startedAt time.Time) *ClaimStore {
	return &ClaimStore{
		startedAt: startedAt, latestTime: startedAt, limit: maxClaims,
		claims: make(map[string]*list.Element), byGrantTime: list.New(),
	}
}

// Len is the number of keys in the store, including expired ones that were not
// removed yet.
func (s *ClaimStore) Len() int { return len(s.claims) }

// Claim grants the key to the call unless it is or was granted to another call. The
// same call may claim again and gets another grant while it has not ended.
func (s *ClaimStore) Claim(now time.Time, k Key, call string) Grant {
	now = s.advance(now)
	if c := s.find(k); c != nil {
		return c.reply(now, call)
	}
	if kind := s.refusalKind(now, k); kind != "" {
		return Grant{kind: kind}
	}
	s.claims[k.id] = s.byGrantTime.PushBack(&claim{key: k, call: call, grantedAt: now})
	return Grant{kind: GrantGiven}
}

// Settle stores the answer of the call that was granted the key; NotRun releases the
// key instead. It stores nothing and reports false if the key was not granted to the
// call or is already settled.
func (s *ClaimStore) Settle(now time.Time, k Key, call string, a Answer) bool {
	s.advance(now)
	c := s.find(k)
	if c == nil || c.call != call || c.answer.outcome != "" {
		return false
	}
	if a.outcome == basillift.OutcomeNotRun {
		s.remove(c)
		return true
	}
	if len(a.body) > maxAnswerBytes || s.storedBytes+len(a.body) > maxStoredBytes {
		a = Unknown()
	}
	s.storedBytes += len(a.body)
	c.answer = a
	return true
}

// advance removes the expired claims and returns the latest time seen. The store's
// time never goes back: otherwise a clock that is set back would make it grant a
// removed key again.
func (s *ClaimStore) advance(now time.Time) time.Time {
	if now.After(s.latestTime) {
		s.latestTime = now
	}
	for e := s.byGrantTime.Front(); e != nil; e = s.byGrantTime.Front() {
		c := e.Value.(*claim)
		if s.latestTime.Sub(c.grantedAt) <= c.retention() {
			break
		}
		s.remove(c)
	}
	return s.latestTime
}

// retention is longer than keyLifetime, because the creation time of a key may be up
// to maxClockSkew after the grant.
func (c *claim) retention() time.Duration { return keyLifetime + maxClockSkew }

func (s *ClaimStore) find(k Key) *claim {
	e := s.claims[k.id]
	if e == nil {
		return nil
	}
	return e.Value.(*claim)
}

func (s *ClaimStore) remove(c *claim) {
	s.byGrantTime.Remove(s.claims[c.key.id])
	delete(s.claims, c.key.id)
	s.storedBytes -= len(c.answer.body)
}

// refusalKind returns why a key without a claim is refused, or "" if it may be
// granted.
func (s *ClaimStore) refusalKind(now time.Time, k Key) GrantKind {
	switch {
	case k.Opaque() && now.Sub(s.startedAt) < keyLifetime+maxClockSkew:
		return GrantCold
	case !k.Opaque() && now.Sub(k.created) > keyLifetime:
		return GrantOld
	case !k.Opaque() && !k.created.After(s.startedAt.Add(restartMargin)):
		return GrantCold
	case !k.Opaque() && k.created.Sub(now) > maxClockSkew:
		return GrantCold
	case len(s.claims) >= s.limit:
		return GrantFull
	default:
		return ""
	}
}

// reply returns the grant for another claim of this key.
func (c *claim) reply(now time.Time, call string) Grant {
	switch {
	case c.answer.outcome == basillift.OutcomeDone:
		return Grant{kind: GrantAnswered, answer: c.answer}
	case c.answer.outcome == basillift.OutcomeUnknown:
		return Grant{kind: GrantUnknown}
	case c.call == call:
		return Grant{kind: GrantGiven}
	case now.Sub(c.grantedAt) > maxRunningTime:
		return Grant{kind: GrantUnknown}
	default:
		return Grant{kind: GrantRunning}
	}
}
