package blrelay

import (
	"math/rand"
	"slices"
	"time"

	"basillift.dev/basillift"
)

const (
	// fetchTimeout frees the fetch slot when no result is reported; the caller's
	// own deadline is shorter.
	fetchTimeout = 10 * time.Second
	// retryBase is the shortest wait after a failed fetch; the wait is jittered up to
	// twice its length so that a herd does not return at once.
	retryBase = 50 * time.Millisecond
)

// State is what one daemon knows of the distribution of versions.
type State struct {
	self     basillift.VMID
	random   *rand.Rand
	order    *Order
	held     basillift.Version
	known    map[basillift.VMID]basillift.Version
	fetching basillift.VMID
	started  time.Time
	wanted   basillift.Version
	cause    Cause
	full     bool
	blocked  map[basillift.VMID]time.Time
}

// NewState returns the state of a daemon that holds no version.
func NewState(self basillift.VMID, random *rand.Rand) *State {
	return &State{
		self: self, random: random, order: NewOrder(nil),
		known: map[basillift.VMID]basillift.Version{}, blocked: map[basillift.VMID]time.Time{},
	}
}

// Held is the version in force.
func (s *State) Held() basillift.Version { return s.held }

// Newest is the newest version that any peer is known to hold.
func (s *State) Newest() basillift.Version {
	newest := s.held
	for _, v := range s.known {
		if v.NewerThan(newest) {
			newest = v
		}
	}
	return newest
}

// Apply takes an observation and returns what to do about it.
func (s *State) Apply(now time.Time, e Event) []Action {
	switch e.kind {
	case eventArranged:
		return s.arranged(now, e.order)
	case eventHeard:
		s.known[e.peer] = e.version
		return s.want(now, e.version, e.cause)
	case eventRequested:
		s.known[e.peer] = e.version
		actions := s.want(now, e.version, CauseProbe)
		// The answer carries the held version. Without this every later push to the
		// peer would start one version too early, and the peer would fetch again.
		s.known[e.peer] = newer(e.version, s.held)
		return actions
	case eventPushed:
		return s.pushed(now, e)
	case eventAdopted:
		return s.adopted(now, e)
	case eventRejected:
		return s.rejected(now, e)
	case eventFailed:
		return s.failed(now, e)
	case eventFetched:
		if e.peer == s.fetching {
			s.fetching = ""
		}
		return s.fetch(now)
	case eventLost:
		delete(s.known, e.peer)
		return nil
	default:
		return s.fetch(now)
	}
}

func (s *State) arranged(now time.Time, o *Order) []Action {
	previous := s.order
	s.order = o
	for id := range s.known {
		if !o.Contains(id) {
			delete(s.known, id)
			delete(s.blocked, id)
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

func (s *State) pushed(now time.Time, e Event) []Action {
	s.known[e.peer] = e.version
	if !e.version.NewerThan(s.held) {
		return nil
	}
	if e.from == s.held {
		return []Action{{kind: ActionApply, peer: e.peer, from: e.from, version: e.version}}
	}
	return s.want(now, e.version, CausePush)
}

func (s *State) adopted(now time.Time, e Event) []Action {
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
	return append(s.spread(e.peer, previous), s.fetch(now)...)
}

// spread sends the held version to the tree neighbours as a delta and tells the other
// heads its number: between failure domains a version usually arrives from the platform
// as well, so that most deltas would cross for nothing.
func (s *State) spread(sender basillift.VMID, previous basillift.Version) []Action {
	var actions []Action
	for _, id := range s.order.Neighbours(s.self) {
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
	for _, id := range s.order.Heads(s.order.places[s.self].domain) {
		if id != sender && s.held.NewerThan(s.known[id]) {
			actions = append(actions, Action{kind: ActionAnnounce, peer: id, version: s.held})
		}
	}
	return actions
}

func (s *State) rejected(now time.Time, e Event) []Action {
	s.full = true
	if e.peer == s.fetching {
		s.fetching = ""
	}
	s.blocked[e.peer] = now.Add(s.jitter(retryBase))
	s.wanted, s.cause = newer(s.wanted, e.version), CausePush
	return s.fetch(now)
}

func (s *State) failed(now time.Time, e Event) []Action {
	if e.peer == s.fetching {
		s.fetching = ""
	}
	if e.retry == 0 {
		delete(s.known, e.peer)
	}
	s.blocked[e.peer] = now.Add(s.jitter(max(e.retry, retryBase)))
	return s.fetch(now)
}

func (s *State) want(now time.Time, v basillift.Version, c Cause) []Action {
	if !v.NewerThan(s.held) {
		return nil
	}
	if v.NewerThan(s.wanted) {
		s.wanted, s.cause = v, c
	}
	return s.fetch(now)
}

// fetch starts a fetch from a peer that holds a newer version, one at a time.
func (s *State) fetch(now time.Time) []Action {
	if s.fetching != "" && now.Sub(s.started) < fetchTimeout {
		return nil
	}
	s.fetching = ""
	peer, found := s.source(now)
	if !found {
		return nil
	}
	s.fetching, s.started = peer, now
	return []Action{{
		kind: ActionFetch, peer: peer, from: s.held, version: s.known[peer], full: s.full, cause: s.reason(),
	}}
}

func (s *State) reason() Cause {
	if s.cause == "" {
		return CauseProbe
	}
	return s.cause
}

// source picks one of the peers that hold the newest version known among the peers that
// may be asked now, at random, so that requesters spread.
func (s *State) source(now time.Time) (basillift.VMID, bool) {
	var newest basillift.Version
	var candidates []basillift.VMID
	for id, v := range s.known {
		if !v.NewerThan(s.held) || now.Before(s.blocked[id]) || v.Compare(newest) < 0 {
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
