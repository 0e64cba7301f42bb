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

// owner is the state of one owner's ClaimStore: whether it restarted, which call holds
// the key ("" for none) and whether that call's answer is stored.
type owner struct {
	started int8 // hours before the key's creation, or 0 for a start after it
	call    string
	done    bool
}

// book builds the ClaimStore through its own methods.
func (o owner) book(s *search) *ClaimStore {
	b := NewClaimStore(s.now.Add(-time.Duration(o.started) * time.Hour))
	if o.call != "" {
		b.Claim(s.now, s.key, o.call)
	}
	if o.done {
		b.Settle(s.now, s.key, o.call, Done(201, "", nil))
	}
	return b
}

// claimer is a daemon that claims the key for its own call. An empty reply means
// that the claim has not arrived; lost means that it has, but not its reply.
type claimer struct {
	attempt int8
	decided bool
	ran     bool
	replies [maxOwners]GrantKind
}

const lost = GrantKind("lost")

// world is one state of two claimers of the same key and its owners.
type world struct {
	owners   [maxOwners]owner
	claimers [2]claimer
	restarts int8
}

// Precomputed names: the search asks for them millions of times.
var (
	calls  = [2][2]string{{"0 first", "0 second"}, {"1 first", "1 second"}}
	owners = [maxOwners]basillift.VMID{"1", "2", "3", "4"}
)

func call(claimer int, attempt int8) string { return calls[claimer][attempt] }

// search visits each state that can follow and counts those in which both calls ran.
// Messages arrive in any order, late or never; owners restart at any moment; a
// claimer decides at any moment, and the first one may try once more when its call did not run.
type search struct {
	key      Key
	now      time.Time
	count    int
	sets     [2]OwnerSets
	all      [2][]basillift.VMID
	restarts int8
	seen     map[world]bool
	double   int
	single   int
}

func (s *search) visit(w world) {
	if s.seen[w] {
		return
	}
	s.seen[w] = true
	if w.claimers[0].ran && w.claimers[1].ran {
		s.double++
		return
	}
	if w.claimers[0].ran || w.claimers[1].ran {
		s.single++
	}
	for i := range s.count {
		s.restart(w, i)
		s.settle(w, i)
		for c := range w.claimers {
			s.claim(w, c, i)
		}
	}
	for c := range w.claimers {
		s.decide(w, c)
	}
}

func (s *search) restart(w world, i int) {
	if w.restarts == s.restarts || w.owners[i] == (owner{}) {
		return
	}
	w.owners[i] = owner{}
	w.restarts++
	s.visit(w)
}

// claim delivers a claim, with the reply received or lost. A reply that arrives
// later is the same as one received now, since only the decision depends on it.
func (s *search) claim(w world, c, i int) {
	cl := &w.claimers[c]
	id := owners[i]
	if cl.decided || cl.replies[i] != "" || !slices.Contains(s.all[c], id) {
		return
	}
	g := w.owners[i].book(s).Claim(s.now, s.key, call(c, cl.attempt))
	if g.Kind() == GrantGiven {
		w.owners[i].call = call(c, cl.attempt)
	}
	for _, reply := range []GrantKind{g.Kind(), lost} {
		cl.replies[i] = reply
		s.visit(w)
	}
}

// decide ends a claimer's waiting. A call that may run is run, or is refused by its
// target as not run.
func (s *search) decide(w world, c int) {
	cl := &w.claimers[c]
	if cl.decided {
		return
	}
	var replies []Reply
	for i, kind := range cl.replies {
		if kind != "" && kind != lost {
			replies = append(replies, NewReply(owners[i], Grant{kind: kind}))
		}
	}
	n := w
	if cl.attempt == 0 {
		n.claimers[c] = claimer{attempt: 1}
	} else {
		n.claimers[c].decided = true
	}
	s.visit(n)
	if Decide(s.now, s.now, s.sets[c], replies).Kind() == DecisionRun {
		cl.decided, cl.ran = true, true
		s.visit(w)
	}
}

// settle delivers the settlement of the call that holds the key at an owner.
func (s *search) settle(w world, i int) {
	for c, cl := range w.claimers {
		for attempt := int8(0); attempt <= cl.attempt; attempt++ {
			over := cl.decided || attempt < cl.attempt
			if !over || w.owners[i].done || w.owners[i].call != call(c, attempt) {
				continue
			}
			n := w
			if cl.ran && attempt == cl.attempt {
				n.owners[i].done = true
			} else {
				b := w.owners[i].book(s)
				b.Settle(s.now, s.key, call(c, attempt), NotRun())
				if b.Len() == 0 {
					n.owners[i].call = ""
				}
			}
			s.visit(n)
		}
	}
}

// sets returns owner sets out of words such as "123".
func sets(words ...string) OwnerSets {
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

// explore searches from the start; cold names owners that started after the key was created.
func explore(restarts, retries int8, ids, cold string, first, second OwnerSets) *search {
	s := &search{
		key: keyAt(epoch), now: epoch.Add(time.Second), count: len(ids),
		sets: [2]OwnerSets{first, second}, all: [2][]basillift.VMID{first.All(), second.All()}, restarts: restarts, seen: make(map[world]bool),
	}
	var w world
	w.claimers[0].attempt, w.claimers[1].attempt = 1-retries, 1
	for i, r := range ids {
		if !strings.ContainsRune(cold, r) {
			w.owners[i].started = 1
		}
	}
	s.visit(w)
	return s
}

// Guards against a second run under any order and loss of messages and any restarts
// of owners. The last cases show what the OwnerSelector is for: they find the second run
// that differing owner sets allow.
func TestAllOrders(t *testing.T) {
	cases := []struct {
		name          string
		restarts      int8
		retries       int8
		ids, cold     string
		first, second OwnerSets
		safe          bool
	}{
		{"same owners, claims given back", 0, 1, "123", "", sets("123"), sets("123"), true},
		{"same owners, three restarts", 3, 0, "123", "", sets("123"), sets("123"), true},
		{"new owner is cold", 1, 0, "1234", "4", sets("123"), sets("124"), true},
		{"joint with the old set", 0, 0, "1234", "", sets("123"), sets("123", "124"), true},
		{"joint with the new set", 0, 0, "1234", "", sets("124"), sets("123", "124"), true},
		{"new owner is warm, no joint phase", 0, 0, "1234", "", sets("123"), sets("124"), false},
		{"one owner in common", 0, 0, "1234", "", sets("12"), sets("134"), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := explore(tc.restarts, tc.retries, tc.ids, tc.cold, tc.first, tc.second)
			t.Logf("%d states, %d with one run, %d with two", len(s.seen), s.single, s.double)
			is.New(t).True(s.single > 0)
			is.New(t).Equal(s.double == 0, tc.safe)
		})
	}
}
