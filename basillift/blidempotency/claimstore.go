package blidempotency

import (
	"container/list"
	"time"

	"basillift.dev/basillift"
)

const (
	// capacity is the number of keys that one owner keeps.
	capacity = 65_536
	// maxBytes bounds all stored bodies together; see the package comment.
	maxBytes = 64 << 20
	// lifetime is how long a key is protected.
	lifetime = 10 * time.Minute
	// coldAfter is the least time between an owner's start and the creation of a
	// key that it grants.
	coldAfter = 30 * time.Second
	// futureLimit is how far ahead of the owner's clock a key's creation time may
	// be. It stays below coldAfter, or a restarted owner could grant the key again.
	futureLimit = 10 * time.Second
	// runningLimit is how long a claim without an answer counts as running. After
	// that its claimer has probably died, and "try again later" would mislead.
	runningLimit = time.Minute
)

// ClaimStore is one owner's record of claims. It is not safe for concurrent use.
type ClaimStore struct {
	started time.Time
	latest  time.Time
	claims  map[string]*list.Element
	order   *list.List // of *claim, by grant time
	bytes   int
	limit   int
}

// claim is a granted key. An empty outcome means that the call has not ended.
type claim struct {
	key     Key
	call    string
	granted time.Time
	answer  Answer
}

// NewClaimStore returns an empty store of a daemon whose process started at the given time.
func NewClaimStore(started time.Time) *ClaimStore {
	return &ClaimStore{
		started: started, latest: started, limit: capacity,
		claims: make(map[string]*list.Element), order: list.New(),
	}
}

// Len is the number of keys held.
func (b *ClaimStore) Len() int { return len(b.claims) }

// Claim grants the key to the call unless another call has it or had it. A
// repeated claim of the same call is granted again while the call has not ended.
func (b *ClaimStore) Claim(now time.Time, k Key, call string) Grant {
	now = b.advance(now)
	if c := b.find(k); c != nil {
		return c.reply(now, call)
	}
	if kind := b.refuse(now, k); kind != "" {
		return Grant{kind: kind}
	}
	b.claims[k.id] = b.order.PushBack(&claim{key: k, call: call, granted: now})
	return Grant{kind: GrantGiven}
}

// Settle stores how the call that holds the key ended, and reports whether it held
// it. NotRun gives the key back. A first answer is never replaced.
func (b *ClaimStore) Settle(now time.Time, k Key, call string, a Answer) bool {
	b.advance(now)
	c := b.find(k)
	if c == nil || c.call != call || c.answer.outcome != "" {
		return false
	}
	if a.outcome == basillift.OutcomeNotRun {
		b.remove(c)
		return true
	}
	if len(a.body) > maxAnswer || b.bytes+len(a.body) > maxBytes {
		a = Unknown()
	}
	b.bytes += len(a.body)
	c.answer = a
	return true
}

// advance forgets the claims that are past their lifetime. Time never goes back
// here: a clock that is set back must not make a forgotten key acceptable again.
func (b *ClaimStore) advance(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		c := e.Value.(*claim)
		if b.latest.Sub(c.granted) <= c.lifetime() {
			break
		}
		b.remove(c)
	}
	return b.latest
}

// lifetime outlasts that of any key that could be granted: its creation may be
// up to futureLimit after the grant.
func (c *claim) lifetime() time.Duration { return lifetime + futureLimit }

func (b *ClaimStore) find(k Key) *claim {
	e := b.claims[k.id]
	if e == nil {
		return nil
	}
	return e.Value.(*claim)
}

func (b *ClaimStore) remove(c *claim) {
	b.order.Remove(b.claims[c.key.id])
	delete(b.claims, c.key.id)
	b.bytes -= len(c.answer.body)
}

// refuse says why a key that the book does not know is not granted.
func (b *ClaimStore) refuse(now time.Time, k Key) GrantKind {
	switch {
	case k.Opaque() && now.Sub(b.started) < lifetime+futureLimit:
		return GrantCold
	case !k.Opaque() && now.Sub(k.created) > lifetime:
		return GrantOld
	case !k.Opaque() && !k.created.After(b.started.Add(coldAfter)):
		return GrantCold
	case !k.Opaque() && k.created.Sub(now) > futureLimit:
		return GrantCold
	case len(b.claims) >= b.limit:
		return GrantFull
	default:
		return ""
	}
}

// reply answers a claim of a key that is held.
func (c *claim) reply(now time.Time, call string) Grant {
	switch {
	case c.answer.outcome == basillift.OutcomeDone:
		return Grant{kind: GrantAnswered, answer: c.answer}
	case c.answer.outcome == basillift.OutcomeUnknown:
		return Grant{kind: GrantUnknown}
	case c.call == call:
		return Grant{kind: GrantGiven}
	case now.Sub(c.granted) > runningLimit:
		return Grant{kind: GrantUnknown}
	default:
		return Grant{kind: GrantRunning}
	}
}
