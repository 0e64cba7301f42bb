package blidempotency

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// uuid returns a UUIDv7 that was created at the given time.
func uuid(created time.Time, number int) string {
	text := fmt.Sprintf("%012x", created.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", text[:8], text[8:], number)
}

func keyAt(created time.Time) Key { return NewKey("kobuleti", "reservations", uuid(created, 1)) }

func assertGrant(t *testing.T, g Grant, want GrantKind) {
	t.Helper()
	is.New(t).Equal(g.Kind(), want)
}

// Guards against keys of different requests that collide, and a creation time that
// is read from something else than a UUIDv7.
func TestKey(t *testing.T) {
	is := is.New(t)
	is.True(keyAt(epoch).Created().Equal(epoch))
	is.Equal(NewKey("a", "b", "0193-ABC").Opaque(), true)
	is.Equal(NewKey("a", "b", "018f4e9a-0000-4000-8000-000000000001").Opaque(), true) // version 4
	is.Equal(NewKey("a", "b", "018F4E9A-0000-7000-8000-00000000000A"), NewKey("a", "b", "018f4e9a-0000-7000-8000-00000000000a"))
	is.True(NewKey("a", "bc", "d").id != NewKey("ab", "c", "d").id)
}

// Guards against each way in which one owner could grant a key twice.
func TestBookGrantsOnce(t *testing.T) {
	start, now := epoch.Add(-time.Hour), epoch
	k := keyAt(epoch.Add(-time.Second))
	held := func() *ClaimStore {
		b := NewClaimStore(start)
		b.Claim(now, k, "first")
		return b
	}

	t.Run("running", func(t *testing.T) {
		assertGrant(t, held().Claim(now, k, "second"), GrantRunning)
	})
	t.Run("repeated message", func(t *testing.T) {
		assertGrant(t, held().Claim(now, k, "first"), GrantGiven)
	})
	t.Run("answered", func(t *testing.T) {
		b := held()
		b.Settle(now, k, "first", Done(201, "text/plain", []byte("ok")))
		g := b.Claim(now, k, "second")
		assertGrant(t, g, GrantAnswered)
		is.New(t).Equal(string(g.Answer().Body()), "ok")
	})
	t.Run("answer too large", func(t *testing.T) {
		b := held()
		b.Settle(now, k, "first", Done(201, "", bytes.Repeat([]byte("x"), maxAnswer+1)))
		assertGrant(t, b.Claim(now, k, "second"), GrantUnknown)
	})
	t.Run("claimer died", func(t *testing.T) {
		assertGrant(t, held().Claim(now.Add(2*time.Minute), k, "second"), GrantUnknown)
	})
	t.Run("given back", func(t *testing.T) {
		b := held()
		is.New(t).True(!b.Settle(now, k, "second", NotRun())) // another call's claim
		is.New(t).True(b.Settle(now, k, "first", NotRun()))
		assertGrant(t, b.Claim(now, k, "second"), GrantGiven)
	})
	t.Run("forgotten", func(t *testing.T) {
		assertGrant(t, held().Claim(now.Add(11*time.Minute), k, "second"), GrantOld)
	})
	t.Run("clock goes back after forgetting", func(t *testing.T) {
		b := held()
		b.Claim(now.Add(11*time.Minute), keyAt(now.Add(11*time.Minute)), "other")
		assertGrant(t, b.Claim(now, k, "second"), GrantOld)
	})
	t.Run("created ahead of the owner's clock", func(t *testing.T) {
		ahead := keyAt(now.Add(9 * time.Second))
		b := NewClaimStore(start)
		assertGrant(t, b.Claim(now, ahead, "first"), GrantGiven)
		assertGrant(t, b.Claim(now.Add(lifetime+5*time.Second), ahead, "second"), GrantUnknown)
		assertGrant(t, NewClaimStore(start).Claim(now, keyAt(now.Add(11*time.Second)), "first"), GrantCold)
	})
	t.Run("restarted", func(t *testing.T) {
		assertGrant(t, NewClaimStore(now).Claim(now, k, "second"), GrantCold)
		assertGrant(t, NewClaimStore(now).Claim(now.Add(time.Minute), keyAt(now.Add(31*time.Second)), "first"), GrantGiven)
	})
	t.Run("opaque after a restart", func(t *testing.T) {
		opaque := NewKey("kobuleti", "reservations", "order 12")
		assertGrant(t, NewClaimStore(now).Claim(now.Add(9*time.Minute), opaque, "first"), GrantCold)
		assertGrant(t, NewClaimStore(now).Claim(now.Add(11*time.Minute), opaque, "first"), GrantGiven)
	})
}

// Guards against a full book that forgets a claim or holds too much memory.
func TestBookBounds(t *testing.T) {
	b := NewClaimStore(epoch.Add(-time.Hour))
	b.limit = 2
	for i := range 2 {
		b.Claim(epoch, NewKey("kobuleti", "reservations", uuid(epoch, i)), "call")
	}
	third := NewKey("kobuleti", "reservations", uuid(epoch, 2))
	assertGrant(t, b.Claim(epoch, third, "call"), GrantFull)
	assertGrant(t, b.Claim(epoch, NewKey("kobuleti", "reservations", uuid(epoch, 0)), "second"), GrantRunning)
	b.Claim(epoch.Add(11*time.Minute), third, "call")
	is.New(t).Equal(b.Len(), 0)

	b.bytes = maxBytes
	assertGrant(t, b.Claim(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "call"), GrantGiven)
	b.Settle(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "call", Done(200, "", []byte("x")))
	assertGrant(t, b.Claim(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "second"), GrantUnknown)
}

// Guards against a ruling that runs, refuses as "not run" or conflicts without proof.
func TestVerdict(t *testing.T) {
	ids := []basillift.VMID{"vm-1", "vm-2", "vm-3"}
	sets := OwnerSets{sets: [][]basillift.VMID{ids}}
	cases := []struct {
		grants []GrantKind
		want   DecisionKind
	}{
		{[]GrantKind{GrantGiven, GrantGiven}, DecisionRun},
		{[]GrantKind{GrantGiven, GrantGiven, GrantRunning}, DecisionRun},
		{[]GrantKind{GrantGiven, GrantGiven, GrantUnknown}, DecisionUnknown},
		{[]GrantKind{GrantGiven, GrantAnswered}, DecisionRepeat},
		{[]GrantKind{GrantGiven, GrantRunning}, DecisionConflict},
		{[]GrantKind{GrantGiven, GrantFull}, DecisionNotRun},
		{[]GrantKind{GrantGiven}, DecisionUnknown},
		{[]GrantKind{GrantGiven, GrantCold, GrantCold}, DecisionUnknown},
		{[]GrantKind{GrantOld, GrantOld, GrantOld}, DecisionUnknown},
		{nil, DecisionUnknown},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.grants), func(t *testing.T) {
			var replies []Reply
			for i, kind := range tc.grants {
				replies = append(replies, NewReply(ids[i], NewGrant(kind, Answer{})))
			}
			is.New(t).Equal(Decide(epoch, epoch, sets, replies).Kind(), tc.want)
		})
	}
	t.Run("paused claimer", func(t *testing.T) {
		granted := []Reply{NewReply("vm-1", Grant{kind: GrantGiven}), NewReply("vm-2", Grant{kind: GrantGiven})}
		is.New(t).Equal(Decide(epoch.Add(11*time.Second), epoch, sets, granted).Kind(), DecisionNotRun)
	})
	t.Run("one reply twice", func(t *testing.T) {
		twice := []Reply{NewReply("vm-1", Grant{kind: GrantGiven}), NewReply("vm-1", Grant{kind: GrantGiven})}
		is.New(t).Equal(Decide(epoch, epoch, sets, twice).Kind(), DecisionUnknown)
	})
}
