package blrelay

import (
	"math/rand"
	"slices"
	"time"

	"basillift.dev/basillift"
)

const (
	// fetchTimeout allows another fetch when no result of the running one is reported. The
	// caller's own deadline is shorter.
	fetchTimeout = 10 * time.Second
	// retryBaseDelay is the minimum delay after a failed fetch. Jitter extends the delay to
	// up to twice its length, so that many daemons don't retry at the same time.
	retryBaseDelay = 50 * time.Millisecond
)

// State tracks the version that one daemon holds and those that its peers are known to hold.
// It is not safe for concurrent use.
type State struct {
	self         basillift.VMID
	random       *rand.Rand
	order        *Order
	held         basillift.Version
	known        map[basillift.VMID]basillift.Version
	fetching     basillift.VMID
	fetchStarted time.Time
	wanted       basillift.Version
	cause        Cause
	full         bool
	backoffUntil map[basillift.VMID]time.Time
}

// NewState returns the state of a daemon that holds no version and knows no peers.
func NewState(self basillift.VMID, random *rand.Rand) *State {
	return &State{
		self: self, random: random, order: NewOrder(nil),
		known: map[basillift.VMID]basillift.Version{}, backoffUntil: map[basillift.VMID]time.Time{},
	}
}

// Held returns the version in force.
func (s *State) Held() basillift.Version { return s.held }

// NewestKnown returns the newest version that this daemon or any peer is known to hold.
func (s *State) NewestKnown() basillift.Version {
	newest := s.held
	for _, v := range s.known {
		if v.NewerThan(newest) {
			newest = v
		}
	}
	return newest
}

// Apply processes an event and returns the actions to perform.
func (s *State) Apply(now time.Time, e Event) []Action {
	switch e.kind {
	case eventOrderChanged:
		return s.orderChanged(now, e.order)
	case eventVersionObserved:
		s.known[e.peer] = e.version
		return s.requestVersion(now, e.version, e.cause)
	case eventRequested:
		s.known[e.peer] = e.version
		actions := s.requestVersion(now, e.version, CauseProbe)
		// The answer contains the held version. Without this update, every later push to
		// the peer would start one version too early, and the peer would fetch again.
		s.known[e.peer] = newer(e.version, s.held)
		return actions
	case eventPushed:
		return s.deltaPushed(now, e)
	case eventAdopted:
		return s.versionAdopted(now, e)
	case eventRejected:
		return s.contentRejected(now, e)
	case eventFetchFailed:
		return s.fetchFailed(now, e)
	case eventFetched:
		if e.peer == s.fetching {
			s.fetching = ""
		}
		return s.fetch(now)
	case eventDisconnected:
		delete(s.known, e.peer)
		return nil
	default:
		return s.fetch(now)
	}
}

func (s *State) orderChanged(now time.Time, o *Order) []Action {
	previous := s.order
	s.order = o
	for id := range s.known {
		if !o.Contains(id) {
			delete(s.known, id)
			delete(s.backoffUntil, id)
		}
	}
	if s.held.IsZero() {
		return s.fetch(now)
	}
	var actions []Action
	for _, id := range o.Links(s.self) {
		if slices.Contains(previous.Links(s.self), id) || !s.held.NewerThan(s.known[id]) {
			continue
		}
		actions = append(actions, Action{kind: ActionAnnounce, peer: id, version: s.held})
	}
	return append(actions, s.fetch(now)...)
}

func (s *State) deltaPushed(now time.Time, e Event) []Action {
	s.known[e.peer] = e.version
	if !e.version.NewerThan(s.held) {
		return nil
	}
	if e.from == s.held {
		return []Action{{kind: ActionApply, peer: e.peer, from: e.from, version: e.version}}
	}
	return s.requestVersion(now, e.version, CausePush)
}

func (s *State) versionAdopted(now time.Time, e Event) []Action {
	if !e.version.NewerThan(s.held) {
		return nil
	}
	previous := s.held
	s.held = e.version
	s.full = false
	if e.peer != "" && e.version.NewerThan(s.known[e.peer]) {
		s.known[e.peer] = e.version
	}
	if e.peer == s.fetching {
		s.fetching = ""
	}
	return append(s.distribute(e.peer, previous), s.fetch(now)...)
}

// distribute pushes the held version to the tree neighbors as a delta. To the other heads
// it only announces the version number: other failure domains usually read the version from
// the platform themselves, so most deltas between failure domains would be redundant.
func (s *State) distribute(sender basillift.VMID, previous basillift.Version) []Action {
	var actions []Action
	for _, id := range s.order.Neighbors(s.self) {
		if id == sender || !s.held.NewerThan(s.known[id]) {
			continue
		}
		from, found := s.known[id]
		if !found {
			from = previous
		}
		if from.IsZero() {
			actions = append(actions, Action{kind: ActionAnnounce, peer: id, version: s.held})
			continue
		}
		s.known[id] = s.held
		actions = append(actions, Action{kind: ActionPush, peer: id, from: from, version: s.held})
	}
	if !s.order.IsHead(s.self) {
		return actions
	}
	for _, id := range s.order.Heads(s.order.positions[s.self].domain) {
		if id != sender && s.held.NewerThan(s.known[id]) {
			actions = append(actions, Action{kind: ActionAnnounce, peer: id, version: s.held})
		}
	}
	return actions
}

func (s *State) contentRejected(now time.Time, e Event) []Action {
	s.full = true
	if e.peer == s.fetching {
		s.fetching = ""
	}
	s.backoffUntil[e.peer] = now.Add(s.jitter(retryBaseDelay))
	s.wanted, s.cause = newer(s.wanted, e.version), CausePush
	return s.fetch(now)
}

func (s *State) fetchFailed(now time.Time, e Event) []Action {
	if e.peer == s.fetching {
		s.fetching = ""
	}
	if e.retryAfter == 0 {
		delete(s.known, e.peer)
	}
	s.backoffUntil[e.peer] = now.Add(s.jitter(max(e.retryAfter, retryBaseDelay)))
	return s.fetch(now)
}

func (s *State) requestVersion(now time.Time, v basillift.Version, c Cause) []Action {
	if !v.NewerThan(s.held) {
		return nil
	}
	if v.NewerThan(s.wanted) {
		s.wanted, s.cause = v, c
	}
	return s.fetch(now)
}

// fetch starts a fetch from a peer that holds a newer version, unless a fetch is running.
func (s *State) fetch(now time.Time) []Action {
	if s.fetching != "" && now.Sub(s.fetchStarted) < fetchTimeout {
		return nil
	}
	s.fetching = ""
	peer, found := s.selectSource(now)
	if !found {
		return nil
	}
	s.fetching, s.fetchStarted = peer, now
	return []Action{{
		kind: ActionFetch, peer: peer, from: s.held, version: s.known[peer], full: s.full, cause: s.fetchCause(),
	}}
}

func (s *State) fetchCause() Cause {
	if s.cause == "" {
		return CauseProbe
	}
	return s.cause
}

// selectSource selects the peer to fetch from: a random one of those that hold the newest
// version among the peers that are not backed off. The random choice distributes the load.
func (s *State) selectSource(now time.Time) (basillift.VMID, bool) {
	var newest basillift.Version
	var candidates []basillift.VMID
	for id, v := range s.known {
		if !v.NewerThan(s.held) || now.Before(s.backoffUntil[id]) || v.Compare(newest) < 0 {
			continue
		}
		if v.NewerThan(newest) {
			newest, candidates = v, candidates[:0]
		}
		candidates = append(candidates, id)
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.Sort(candidates)
	return candidates[s.random.Intn(len(candidates))], true
}

func (s *State) jitter(base time.Duration) time.Duration {
	return base + time.Duration(s.random.Int63n(int64(base)))
}

func newer(a, b basillift.Version) basillift.Version {
	if a.NewerThan(b) {
		return a
	}
	return b
}
