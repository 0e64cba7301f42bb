package blidempotency

import (
	"slices"
	"strings"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const maxOwners = 4

// owner is the state of one owner's ClaimStore: whether it restarted, which call was
// granted the key ("" for none) and whether the answer of that call is stored.
type owner struct {
	hoursBeforeKey int8 // start of the process in hours before the key's creation, or 0 for a start after it
	call           string
	answered       bool
}

// claimStore builds the ClaimStore of this state through its methods.
func (o owner) claimStore(s *search) *ClaimStore {
	store := NewClaimStore(s.now.Add(-time.Duration(o.hoursBeforeKey) * time.Hour))
	if o.call != "" {
		store.Claim(s.now, s.key, o.call)
	}
	if o.answered {
		store.Settle(s.now, s.key, o.call, Done(201, "", nil))
	}
	return store
}

// claimer is a daemon that claims the key for its own call. An empty reply means that
// the claim has not arrived; lost means that the claim arrived but its reply did not.
type claimer struct {
	attempt int8
	decided bool
	ran     bool
	replies [maxOwners]GrantKind
}

const lost = GrantKind("lost")

// state is the state of two claimers of the same key and of its owners.
type state struct {
	owners   [maxOwners]owner
	claimers [2]claimer
	restarts int8
}

// Precomputed ids: the search uses them millions of times.
var (
	callIDs  = [2][2]string{{"0 first", "0 second"}, {"1 first", "1 second"}}
	ownerIDs = [maxOwners]basillift.VMID{"1", "2", "3", "4"}
)

func callID(claimer int, attempt int8) string { return callIDs[claimer][attempt] }

// search visits all reachable states and counts those in which one call or both calls
// ran. Messages arrive in any order, late or never. Owners restart at any time. A
// claimer decides at any time, and the first one may retry once if its call did not
// run.
type search struct {
	key           Key
	now           time.Time
	ownerCount    int
	sets          [2]OwnerSets
	claimedOwners [2][]basillift.VMID
	maxRestarts   int8
	seen          map[state]bool
	doubleRuns    int
	singleRuns    int
}

func (s *search) visit(st state) {
	if s.seen[st] {
		return
	}
	s.seen[st] = true
	if st.claimers[0].ran && st.claimers[1].ran {
		s.doubleRuns++
		return
	}
	if st.claimers[0].ran || st.claimers[1].ran {
		s.singleRuns++
	}
	for i := range s.ownerCount {
		s.restart(st, i)
		s.settle(st, i)
		for c := range st.claimers {
			s.claim(st, c, i)
		}
	}
	for c := range st.claimers {
		s.decide(st, c)
	}
}

func (s *search) restart(st state, i int) {
	if st.restarts == s.maxRestarts || st.owners[i] == (owner{}) {
		return
	}
	st.owners[i] = owner{}
	st.restarts++
	s.visit(st)
}

// claim delivers a claim, and its reply is either received or lost. A later arrival of
// the reply need not be modelled, since only the decision depends on it.
func (s *search) claim(st state, c, i int) {
	cl := &st.claimers[c]
	id := ownerIDs[i]
	if cl.decided || cl.replies[i] != "" || !slices.Contains(s.claimedOwners[c], id) {
		return
	}
	g := st.owners[i].claimStore(s).Claim(s.now, s.key, callID(c, cl.attempt))
	if g.Kind() == GrantGiven {
		st.owners[i].call = callID(c, cl.attempt)
	}
	for _, reply := range []GrantKind{g.Kind(), lost} {
		cl.replies[i] = reply
		s.visit(st)
	}
}

// decide lets a claimer decide on the replies that it has. A call that may run either
// runs, or its target refuses it as not run.
func (s *search) decide(st state, c int) {
	cl := &st.claimers[c]
	if cl.decided {
		return
	}
	var replies []Reply
	for i, kind := range cl.replies {
		if kind != "" && kind != lost {
			replies = append(replies, NewReply(ownerIDs[i], Grant{kind: kind}))
		}
	}
	next := st
	if cl.attempt == 0 {
		next.claimers[c] = claimer{attempt: 1}
	} else {
		next.claimers[c].decided = true
	}
	s.visit(next)
	if Decide(s.now, s.now, s.sets[c], replies).Kind() == DecisionRun {
		cl.decided, cl.ran = true, true
		s.visit(st)
	}
}

// settle delivers the Settle message of the call that was granted the key at an owner.
func (s *search) settle(st state, i int) {
	for c, cl := range st.claimers {
		for attempt := int8(0); attempt <= cl.attempt; attempt++ {
			ended := cl.decided || attempt < cl.attempt
			if !ended || st.owners[i].answered || st.owners[i].call != callID(c, attempt) {
				continue
			}
			next := st
			if cl.ran && attempt == cl.attempt {
				next.owners[i].answered = true
			} else {
				store := st.owners[i].claimStore(s)
				store.Settle(s.now, s.key, callID(c, attempt), NotRun())
				if store.Len() == 0 {
					next.owners[i].call = ""
				}
			}
			s.visit(next)
		}
	}
}

// ownerSets returns one owner set per word. Each letter of a word such as "123" is an
// owner's id.
func ownerSets(words ...string) OwnerSets {
	var o OwnerSets
	for _, word := range words {
		var set []basillift.VMID
		for _, r := range word {
			set = append(set, basillift.VMID(r))
		}
		o.sets = append(o.sets, set)
	}
	return o
}

// explore runs the search from the initial state. The ids in coldIDs are of owners that
// started after the key was created.
func explore(restarts, retries int8, ids, coldIDs string, first, second OwnerSets) *search {
	s := &search{
		key: keyAt(epoch), now: epoch.Add(time.Second), ownerCount: len(ids),
		sets: [2]OwnerSets{first, second}, claimedOwners: [2][]basillift.VMID{first.All(), second.All()}, maxRestarts: restarts, seen: make(map[state]bool),
	}
	var st state
	st.claimers[0].attempt, st.claimers[1].attempt = 1-retries, 1
	for i, r := range ids {
		if !strings.ContainsRune(coldIDs, r) {
			st.owners[i].hoursBeforeKey = 1
		}
	}
	s.visit(st)
	return s
}

// Guards against a second run of a call, whatever the order and loss of messages and
// the restarts of owners. The last two cases show why the OwnerSelector is needed: with
// different owner sets, the search finds a second run.
func TestAllOrders(t *testing.T) {
	cases := []struct {
		name          string
		restarts      int8
		retries       int8
		ids, cold     string
		first, second OwnerSets
		safe          bool
	}{
		{"same owners, claims released", 0, 1, "123", "", ownerSets("123"), ownerSets("123"), true},
		{"same owners, three restarts", 3, 0, "123", "", ownerSets("123"), ownerSets("123"), true},
		{"new owner is cold", 1, 0, "1234", "4", ownerSets("123"), ownerSets("124"), true},
		{"in transition and old set", 0, 0, "1234", "", ownerSets("123"), ownerSets("123", "124"), true},
		{"in transition and new set", 0, 0, "1234", "", ownerSets("124"), ownerSets("123", "124"), true},
		{"new owner is not cold, no transition", 0, 0, "1234", "", ownerSets("123"), ownerSets("124"), false},
		{"one owner in common", 0, 0, "1234", "", ownerSets("12"), ownerSets("134"), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := explore(tc.restarts, tc.retries, tc.ids, tc.cold, tc.first, tc.second)
			t.Logf("%d states, %d with one run, %d with two", len(s.seen), s.singleRuns, s.doubleRuns)
			is.New(t).True(s.singleRuns > 0)
			is.New(t).Equal(s.doubleRuns == 0, tc.safe)
		})
	}
}
