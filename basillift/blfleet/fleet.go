package blfleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
)

const (
	// recoveryGrace is how long after the end of a registry outage an entry may be missing. The registry's contract
	// says that targets publish their entries again within 2 s.
	recoveryGrace = 2 * time.Second
	// listingTimeout is the maximum duration of the complete listing that starts when an outage ends.
	listingTimeout = time.Second
)

// removedEntryTTL is how long a removed entry is kept. It exceeds the time for which an older entry may be delayed.
const removedEntryTTL = time.Minute

// Target is a usable target of a service.
type Target struct {
	endpoint  basillift.Endpoint
	warmupEnd time.Time
}

// Endpoint is the content of the target's entry.
func (t *Target) Endpoint() basillift.Endpoint { return t.endpoint }

// WarmupEnd is the time until which the target is slow after its start.
func (t *Target) WarmupEnd() time.Time { return t.warmupEnd }

// trackedEntry is the state of the entry of one key.
type trackedEntry struct {
	target   *Target
	revision basillift.Revision
	// removedAt is when the entry was removed; zero if it was not. Removed entries are kept for removedEntryTTL,
	// since an older entry of the same target may still arrive.
	removedAt time.Time
	// missing is set while the entry is gone from the registry, which may have lost it in an outage.
	missing bool
	// leavingSince is when the target was first seen draining or removed; zero while it is neither.
	leavingSince time.Time
}

// snapshot is the state that the accessors of Fleet read without a lock. It is replaced as a whole and never modified.
type snapshot struct {
	targetsByService map[string][]*Target
	entryByAddress   map[string]*trackedEntry
	vmCount          int
	// domainByDaemon holds the failure domain of each target's daemon, by the daemon's address.
	domainByDaemon map[string]basillift.FailureDomain
	// evacuations holds the present evacuations by failure domain, and evacuatedByService the usable targets there.
	evacuations        map[basillift.FailureDomain]Evacuation
	evacuatedByService map[string][]*Target
	// evacuationEnds holds when the evacuations ended that were removed within removedEntryTTL.
	evacuationEnds map[basillift.FailureDomain]time.Time
}

// Fleet holds the entries of all targets. It is safe for concurrent use.
type Fleet struct {
	mutex       sync.Mutex
	entries     map[string]*trackedEntry
	evacuations evacuations
	graceEnd    time.Time
	recoveredAt time.Time
	// services holds the services of the routing table; nil before the first one.
	services map[string]bool
	// era is the era of the registry in the last complete listing.
	era     uint64
	current atomic.Pointer[snapshot]
}

// New returns a fleet without targets.
func New() *Fleet {
	f := &Fleet{entries: make(map[string]*trackedEntry), evacuations: make(evacuations)}
	f.current.Store(&snapshot{})
	return f
}

// Targets returns the usable targets of a service outside evacuated failure domains, ordered by instance. The slice must not be
// modified.
func (f *Fleet) Targets(service string) []*Target { return f.current.Load().targetsByService[service] }

// VMCount is the number of addresses for which targets have entries, at least 1.
func (f *Fleet) VMCount() int { return max(1, f.current.Load().vmCount) }

// Neighbors returns the daemons of all targets, each with whether it is in the given failure domain.
func (f *Fleet) Neighbors(own basillift.FailureDomain) []basillift.Neighbor {
	daemons := f.current.Load().domainByDaemon
	neighbors := make([]basillift.Neighbor, 0, len(daemons))
	for address, domain := range daemons {
		neighbors = append(neighbors, basillift.NewNeighbor(address, domain == own))
	}
	return neighbors
}

// EndpointAt returns the newest entry of an address (IP:port), and since when its target is draining or removed; zero
// while it is neither. It returns false for an unknown address.
func (f *Fleet) EndpointAt(address string) (basillift.Endpoint, time.Time, bool) {
	r := f.current.Load().entryByAddress[address]
	if r == nil {
		return basillift.Endpoint{}, time.Time{}, false
	}
	return r.target.endpoint, r.leavingSince, true
}

// RegistryRecovered records that the registry answers again after an outage. The answer that ended the outage must be
// applied with the same time.
func (f *Fleet) RegistryRecovered(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recoveredAt, f.graceEnd = now, now.Add(recoveryGrace)
}

// SetServices sets the services of the routing table in force. An entry that names another service may come from another writer than
// the target at its address.
func (f *Fleet) SetServices(services []basillift.ServiceLimits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.services = make(map[string]bool, len(services))
	for _, s := range services {
		f.services[s.Name()] = true
	}
	f.updateSnapshot()
}

// Apply applies one change. It ignores a change that is older than the known entry, and returns false for it.
func (f *Fleet) Apply(now time.Time, entry basillift.RegistryEntry) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var applied bool
	if f.evacuations.holds(entry) {
		applied = f.evacuations.apply(now, entry)
	} else {
		applied = f.apply(now, entry)
	}
	f.updateSnapshot()
	return applied
}

// Replace applies a complete listing at a revision. Entries that the listing lacks are removed. Just after an outage, and if the
// registry has lost changes, those of targets that accept requests are kept until the end of recoveryGrace. It returns the
// entries that hold now: where the listing has an entry from before one that is known, the known one. An evacuation that the
// listing lacks ends, unless the listing is older or the registry has lost changes.
func (f *Fleet) Replace(now time.Time, revision basillift.Revision, entries []basillift.RegistryEntry) (current []basillift.RegistryEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	possiblyLost := !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < listingTimeout
	if revision.Era() > f.era && len(f.entries) > 0 {
		possiblyLost, f.graceEnd = true, now.Add(recoveryGrace)
	}
	f.era = max(f.era, revision.Era())
	current = f.evacuations.replace(now, revision, entries)
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if f.evacuations.holds(entry) {
			continue
		}
		listed[entry.Key()] = true
		if f.apply(now, entry) {
			current = append(current, entry)
		} else if known := f.entries[entry.Key()]; known.removedAt.IsZero() {
			current = append(current, basillift.NewRegistryEntry(entry.Key(), max(entry.Revision(), known.revision)).WithEndpoint(known.target.endpoint))
		}
	}
	for key, r := range f.entries {
		if !listed[key] {
			f.remove(now, key, *r, possiblyLost)
		}
	}
	f.updateSnapshot()
	return current
}

// Tick removes targets whose entries did not reappear within recoveryGrace, and forgets entries and evacuations removed long ago.
func (f *Fleet) Tick(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := f.evacuations.forget(now)
	for key, r := range f.entries {
		switch {
		case !r.removedAt.IsZero() && now.Sub(r.removedAt) > removedEntryTTL:
			delete(f.entries, key)
		case r.missing && !now.Before(f.graceEnd):
			f.markRemoved(now, key, *r)
			changed = true
		}
	}
	if changed {
		f.updateSnapshot()
	}
}

func (f *Fleet) apply(now time.Time, entry basillift.RegistryEntry) bool {
	previous := f.entries[entry.Key()]
	if previous != nil && entry.Revision() < previous.revision {
		return false
	}
	e, usable := entry.Endpoint()
	if !usable {
		if previous != nil {
			removed := *previous
			removed.revision = entry.Revision()
			// Removals in the answer that ends the outage may be entries that were lost during the outage. A later
			// removal means that the target is leaving.
			f.remove(now, entry.Key(), removed, now.Equal(f.recoveredAt))
		}
		return true
	}
	if previous != nil && (e.OlderThan(previous.target.endpoint) || previous.leftBefore(entry.Revision(), e)) {
		return false
	}
	r := &trackedEntry{revision: entry.Revision(), target: &Target{endpoint: e, warmupEnd: now.Add(e.WarmupRemaining())}}
	if previous != nil {
		r.target.warmupEnd = previous.target.nextWarmupEnd(r.target)
	}
	if !e.State().AcceptsRequests() {
		r.leavingSince = now
		if previous != nil && !previous.leavingSince.IsZero() {
			r.leavingSince = previous.leavingSince
		}
	}
	f.entries[entry.Key()] = r
	return true
}

// leftBefore reports whether the target of a removed entry left before the registry was restored from a copy that still has
// the entry. A target that is there writes again, so that its entry is newer than the last known one.
func (r *trackedEntry) leftBefore(revision basillift.Revision, e basillift.Endpoint) bool {
	return !r.removedAt.IsZero() && revision.Era() > r.revision.Era() && !r.target.endpoint.OlderThan(e)
}

// remove removes an entry, or marks it as missing if the registry may have lost it in an outage. It stores a copy,
// since the current snapshot may still refer to the previous one.
func (f *Fleet) remove(now time.Time, key string, r trackedEntry, possiblyLost bool) {
	if !r.removedAt.IsZero() {
		return
	}
	if possiblyLost && r.target.endpoint.State().AcceptsRequests() {
		r.missing = true
		f.entries[key] = &r
		return
	}
	f.markRemoved(now, key, r)
}

// markRemoved records that the entry was removed.
func (f *Fleet) markRemoved(now time.Time, key string, r trackedEntry) {
	r.removedAt, r.missing = now, false
	if r.leavingSince.IsZero() {
		r.leavingSince = now
	}
	f.entries[key] = &r
}

// updateSnapshot replaces the current snapshot by one of the present entries.
func (f *Fleet) updateSnapshot() {
	s := &snapshot{targetsByService: make(map[string][]*Target), entryByAddress: make(map[string]*trackedEntry, len(f.entries)), domainByDaemon: make(map[string]basillift.FailureDomain)}
	s.evacuations, s.evacuationEnds = f.evacuations.byDomain()
	for _, r := range f.entries {
		address := r.target.endpoint.Address()
		if current := s.entryByAddress[address]; current == nil || f.supersedes(r, current) {
			s.entryByAddress[address] = r
		}
	}
	for _, r := range s.entryByAddress {
		if !r.removedAt.IsZero() {
			continue
		}
		s.vmCount++
		e := r.target.endpoint
		if e.Daemon() != "" {
			s.domainByDaemon[e.Daemon()] = e.Domain()
		}
		if e.State().AcceptsRequests() {
			s.addTarget(r.target)
		}
	}
	sortTargets(s.targetsByService)
	sortTargets(s.evacuatedByService)
	f.current.Store(s)
}

// addTarget adds a usable target.
func (s *snapshot) addTarget(t *Target) {
	service := t.endpoint.Service()
	e, evacuated := s.evacuations[t.endpoint.Domain()]
	if !evacuated {
		s.targetsByService[service] = append(s.targetsByService[service], t)
		return
	}
	if s.evacuatedByService == nil {
		s.evacuatedByService = make(map[string][]*Target)
	}
	s.evacuatedByService[service] = append(s.evacuatedByService[service], t)
	e.targetCount++
	s.evacuations[e.domain] = e
}

// sortTargets orders the targets of each service by instance.
func sortTargets(targetsByService map[string][]*Target) {
	for _, targets := range targetsByService {
		slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.endpoint.Instance(), b.endpoint.Instance()) })
	}
}

// supersedes decides which of two entries with the same address is used. A removed entry loses against any other, one of an unknown
// service against one of a service of the routing table, and one that is only kept because the registry may have lost it against
// one that is present; otherwise the newer revision wins.
func (f *Fleet) supersedes(r, o *trackedEntry) bool {
	if r.removedAt.IsZero() != o.removedAt.IsZero() {
		return r.removedAt.IsZero()
	}
	if known := f.services[r.target.endpoint.Service()]; f.services != nil && known != f.services[o.target.endpoint.Service()] {
		return known
	}
	if r.missing != o.missing {
		return o.missing
	}
	return r.revision > o.revision
}
