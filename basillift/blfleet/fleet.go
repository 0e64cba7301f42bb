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
	// returnGrace is how long after the registry's return an entry may be missing: targets publish
	// themselves again within 2 s, by the registry's contract.
	recoveryGrace = 2 * time.Second
	// listingTime is how long after the return a listing may be complete that began with it.
	listingTimeout = time.Second
)

// removedMemory is how long a removed entry is remembered: longer than a delayed entry is on its way.
const removedEntryTTL = time.Minute

// Target is one usable target.
type Target struct {
	endpoint  basillift.Endpoint
	warmupEnd time.Time
}

// Endpoint is what the target says of itself.
func (t *Target) Endpoint() basillift.Endpoint { return t.endpoint }

// WarmupEnd is when the target stops being slow after its start.
func (t *Target) WarmupEnd() time.Time { return t.warmupEnd }

// record is what is known of one key.
type trackedEntry struct {
	target   *Target
	revision uint64
	// removed is when the entry was removed. It is remembered for a while, since an
	// older entry of the same target may still arrive.
	removedAt time.Time
	// missing is set while the entry is gone but the registry may have lost it.
	missing bool
	// drains is when the target was first seen leaving.
	leavingSince time.Time
}

// view is what readers see.
type snapshot struct {
	targetsByService map[string][]*Target
	entryByAddress   map[string]*trackedEntry
	vmCount          int
	// daemons holds the failure domain of each daemon beside a target by its address.
	domainByDaemon map[string]basillift.FailureDomain
}

// Fleet holds the entries of all targets. It is safe for concurrent use.
type Fleet struct {
	mutex       sync.Mutex
	entries     map[string]*trackedEntry
	graceEnd    time.Time
	recoveredAt time.Time
	current     atomic.Pointer[snapshot]
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{entries: make(map[string]*trackedEntry)}
	f.current.Store(&snapshot{})
	return f
}

// Targets returns the usable targets of a service in the order of their instances. The slice must not be changed.
func (f *Fleet) Targets(service string) []*Target { return f.current.Load().targetsByService[service] }

// VMCount is the number of addresses at which targets have entries; 1 at least.
func (f *Fleet) VMCount() int { return max(1, f.current.Load().vmCount) }

// Neighbors are the daemons beside all targets, as seen from a failure domain.
func (f *Fleet) Neighbors(own basillift.FailureDomain) []basillift.Neighbor {
	daemons := f.current.Load().domainByDaemon
	neighbors := make([]basillift.Neighbor, 0, len(daemons))
	for address, domain := range daemons {
		neighbors = append(neighbors, basillift.NewNeighbor(address, domain == own))
	}
	return neighbors
}

// EndpointAt returns the newest entry of an address, and since when it is leaving or gone; zero while it is not.
func (f *Fleet) EndpointAt(address string) (basillift.Endpoint, time.Time, bool) {
	r := f.current.Load().entryByAddress[address]
	if r == nil {
		return basillift.Endpoint{}, time.Time{}, false
	}
	return r.target.endpoint, r.leavingSince, true
}

// RegistryReturned tells that the registry answers again after an outage. What that answer
// says is applied with the same present time.
func (f *Fleet) RegistryRecovered(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recoveredAt, f.graceEnd = now, now.Add(recoveryGrace)
}

// Apply takes one change, and reports false for one that is older than what is held, which does nothing.
func (f *Fleet) Apply(now time.Time, entry basillift.RegistryEntry) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	applied := f.apply(now, entry)
	f.updateSnapshot()
	return applied
}

// Replace takes a whole listing: entries that it lacks are gone.
func (f *Fleet) Replace(now time.Time, entries []basillift.RegistryEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key()] = true
		f.apply(now, entry)
	}
	for key, r := range f.entries {
		if !listed[key] {
			f.remove(now, key, *r, !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < listingTimeout)
		}
	}
	f.updateSnapshot()
}

// Tick ends the targets whose entries did not come back in time.
func (f *Fleet) Tick(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := false
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
			// Removals in the answer that ends the outage are from the time of the outage; a later one is
			// news of a target that leaves.
			f.remove(now, entry.Key(), removed, now.Equal(f.recoveredAt))
		}
		return true
	}
	if previous != nil && e.OlderThan(previous.target.endpoint) {
		return false
	}
	r := &trackedEntry{revision: entry.Revision(), target: &Target{endpoint: e, warmupEnd: now.Add(e.WarmupRemaining())}}
	if previous != nil && previous.target.endpoint.StartedAt().Equal(e.StartedAt()) {
		r.target.warmupEnd = earlierTime(previous.target.warmupEnd, r.target.warmupEnd)
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

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// remove ends an entry, or keeps it for a while if the registry may have lost it in an outage. Records
// that readers may hold are never changed.
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

// end removes an entry.
func (f *Fleet) markRemoved(now time.Time, key string, r trackedEntry) {
	r.removedAt, r.missing = now, false
	if r.leavingSince.IsZero() {
		r.leavingSince = now
	}
	f.entries[key] = &r
}

// publish makes a new view for readers.
func (f *Fleet) updateSnapshot() {
	s := &snapshot{targetsByService: make(map[string][]*Target), entryByAddress: make(map[string]*trackedEntry, len(f.entries)), domainByDaemon: make(map[string]basillift.FailureDomain)}
	for _, r := range f.entries {
		address := r.target.endpoint.Address()
		if current := s.entryByAddress[address]; current == nil || r.supersedes(current) {
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
			s.targetsByService[e.Service()] = append(s.targetsByService[e.Service()], r.target)
		}
	}
	for _, targets := range s.targetsByService {
		slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.endpoint.Instance(), b.endpoint.Instance()) })
	}
	f.current.Store(s)
}

// newerThan orders two entries with the same address. A removed entry, and one that is only kept for the
// registry's sake, lose against any other.
func (r *trackedEntry) supersedes(o *trackedEntry) bool {
	if r.removedAt.IsZero() != o.removedAt.IsZero() {
		return r.removedAt.IsZero()
	}
	if r.missing != o.missing {
		return o.missing
	}
	return r.revision > o.revision
}
