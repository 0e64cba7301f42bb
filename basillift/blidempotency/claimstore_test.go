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

// uuid returns a UUIDv7 with the given creation time.
func uuid(created time.Time, number int) string {
	text := fmt.Sprintf("%012x", created.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", text[:8], text[8:], number)
}

func keyAt(created time.Time) Key { return NewKey("kobuleti", "reservations", uuid(created, 1)) }

func assertGrant(t *testing.T, g Grant, want GrantKind) {
	t.Helper()
	is.New(t).Equal(g.Kind(), want)
}

// Guards against equal keys for different requests, and against a creation time that
// is parsed from a value that is not a UUIDv7.
func TestKey(t *testing.T) {
	is := is.New(t)
	is.True(keyAt(epoch).Created().Equal(epoch))
	is.Equal(NewKey("a", "b", "0193-ABC").Opaque(), true)
	is.Equal(NewKey("a", "b", "018f4e9a-0000-4000-8000-000000000001").Opaque(), true) // version 4
	is.Equal(NewKey("a", "b", "018F4E9A-0000-7000-8000-00000000000A"), NewKey("a", "b", "018f4e9a-0000-7000-8000-00000000000a"))
	is.True(NewKey("a", "bc", "d").id != NewKey("ab", "c", "d").id)
}

// Guards against an owner that grants a key twice: to a running or answered call, after
// expiry, after a change of its clock, or after a restart.
func TestClaimStoreGrantsOnce(t *testing.T) {
	start, now := epoch.Add(-time.Hour), epoch
	k := keyAt(epoch.Add(-time.Second))
	claimed := func() *ClaimStore {
		store := NewClaimStore(start)
		store.Claim(now, k, "first")
		return store
	}

	t.Run("running", func(t *testing.T) {
		assertGrant(t, claimed().Claim(now, k, "second"), GrantRunning)
	})
	t.Run("duplicate message", func(t *testing.T) {
		assertGrant(t, claimed().Claim(now, k, "first"), GrantGiven)
	})
	t.Run("answered", func(t *testing.T) {
		store := claimed()
		store.Settle(now, k, "first", Done(201, "text/plain", []byte("ok")))
		g := store.Claim(now, k, "second")
		assertGrant(t, g, GrantAnswered)
		is.New(t).Equal(string(g.Answer().Body()), "ok")
	})
	t.Run("answer too large", func(t *testing.T) {
		store := claimed()
		store.Settle(now, k, "first", Done(201, "", bytes.Repeat([]byte("x"), maxAnswerBytes+1)))
		assertGrant(t, store.Claim(now, k, "second"), GrantUnknown)
	})
	t.Run("claimer died", func(t *testing.T) {
		assertGrant(t, claimed().Claim(now.Add(2*time.Minute), k, "second"), GrantUnknown)
	})
	t.Run("released", func(t *testing.T) {
		store := claimed()
		is.New(t).True(!store.Settle(now, k, "second", NotRun())) // another call's claim
		is.New(t).True(store.Settle(now, k, "first", NotRun()))
		assertGrant(t, store.Claim(now, k, "second"), GrantGiven)
	})
	t.Run("expired", func(t *testing.T) {
		assertGrant(t, claimed().Claim(now.Add(11*time.Minute), k, "second"), GrantOld)
	})
	t.Run("clock goes back after expiry", func(t *testing.T) {
		store := claimed()
		store.Claim(now.Add(11*time.Minute), keyAt(now.Add(11*time.Minute)), "other")
		assertGrant(t, store.Claim(now, k, "second"), GrantOld)
	})
	t.Run("created ahead of the owner's clock", func(t *testing.T) {
		ahead := keyAt(now.Add(9 * time.Second))
		store := NewClaimStore(start)
		assertGrant(t, store.Claim(now, ahead, "first"), GrantGiven)
		assertGrant(t, store.Claim(now.Add(keyLifetime+5*time.Second), ahead, "second"), GrantUnknown)
		assertGrant(t, NewClaimStore(start).Claim(now, keyAt(now.Add(11*time.Second)), "first"), GrantCold)
	})
	t.Run("restarted", func(t *testing.T) {
		assertGrant(t, NewClaimStore(now).Claim(now, k, "second"), GrantCold)
		assertGrant(t, NewClaimStore(now).Claim(now.Add(time.Minute), keyAt(now.Add(31*time.Second)), "first"), GrantGiven)
	})
	t.Run("opaque key after a restart", func(t *testing.T) {
		opaque := NewKey("kobuleti", "reservations", "order 12")
		assertGrant(t, NewClaimStore(now).Claim(now.Add(9*time.Minute), opaque, "first"), GrantCold)
		assertGrant(t, NewClaimStore(now).Claim(now.Add(11*time.Minute), opaque, "first"), GrantGiven)
	})
}

// Guards against a full store that evicts a claim or uses too much memory.
func TestClaimStoreLimits(t *testing.T) {
	store := NewClaimStore(epoch.Add(-time.Hour))
	store.limit = 2
	for i := range 2 {
		store.Claim(epoch, NewKey("kobuleti", "reservations", uuid(epoch, i)), "call")
	}
	third := NewKey("kobuleti", "reservations", uuid(epoch, 2))
	assertGrant(t, store.Claim(epoch, third, "call"), GrantFull)
	assertGrant(t, store.Claim(epoch, NewKey("kobuleti", "reservations", uuid(epoch, 0)), "second"), GrantRunning)
	store.Claim(epoch.Add(11*time.Minute), third, "call")
	is.New(t).Equal(store.Len(), 0)

	store.storedBytes = maxStoredBytes
	assertGrant(t, store.Claim(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "call"), GrantGiven)
	store.Settle(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "call", Done(200, "", []byte("x")))
	assertGrant(t, store.Claim(epoch.Add(11*time.Minute), keyAt(epoch.Add(11*time.Minute)), "second"), GrantUnknown)
}

// Guards against a decision to run a call, to refuse it as "not run" or to report a
// conflict when the replies don't prove that this is right.
func TestDecide(t *testing.T) {
	ids := []basillift.VMID{"vm-1", "vm-2", "vm-3"}
	sets := OwnerSets{sets: [][]basillift.VMID{ids}}
	cases := []struct {
		grants []GrantKind
		want   DecisionKind
	}{
		{[]GrantKind{GrantGiven, GrantGiven}, DecisionRun},
		{[]GrantKind{GrantGiven, GrantGiven, GrantRunning}, DecisionRun},
		{[]GrantKind{GrantGiven, GrantGiven, GrantUnknown}, DecisionUnknown},
		{[]GrantKind{GrantGiven, GrantAnswered}, DecisionReplay},
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
