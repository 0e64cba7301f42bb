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
	returnGrace = 2 * time.Second
	// listingTime is how long after the return a listing may be complete that began with it.
	listingTime = time.Second
)

// removedMemory is how long a removed entry is remembered: longer than a delayed entry is on its way.
const removedMemory = time.Minute

// Target is one usable target.
type Target struct {
	endpoint  basillift.Endpoint
	warmUntil time.Time
}

// Endpoint is what the target says of itself.
func (t *Target) Endpoint() basillift.Endpoint { return t.endpoint }

// WarmupEnd is when the target stops being slow after its start.
func (t *Target) WarmupEnd() time.Time { return t.warmUntil }

// record is what is known of one key.
type record struct {
	target   *Target
	revision uint64
	// removed is when the entry was removed. It is remembered for a while, since an
	// older entry of the same target may still arrive.
	removed time.Time
	// missing is set while the entry is gone but the registry may have lost it.
	missing bool
	// drains is when the target was first seen leaving.
	drains time.Time
}

// view is what readers see.
type view struct {
	services  map[string][]*Target
	byAddress map[string]*record
	machines  int
	// daemons holds the failure domain of each daemon beside a target by its address.
	daemons map[string]basillift.FailureDomain
}

// Fleet holds the entries of all targets. It is safe for concurrent use.
type Fleet struct {
	mutex      sync.Mutex
	records    map[string]*record
	graceUntil time.Time
	returned   time.Time
	current    atomic.Pointer[view]
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{records: make(map[string]*record)}
	f.current.Store(&view{})
	return f
}

// Targets returns the usable targets of a service in the order of their instances. The slice must not be changed.
func (f *Fleet) Targets(service string) []*Target { return f.current.Load().services[service] }

// VMCount is the number of addresses at which targets have entries; 1 at least.
func (f *Fleet) VMCount() int { return max(1, f.current.Load().machines) }

// Neighbors are the daemons beside all targets, as seen from a failure domain.
func (f *Fleet) Neighbors(own basillift.FailureDomain) []basillift.Neighbor {
	daemons := f.current.Load().daemons
	neighbors := make([]basillift.Neighbor, 0, len(daemons))
	for address, domain := range daemons {
		neighbors = append(neighbors, basillift.NewNeighbor(address, domain == own))
	}
	return neighbors
}

// EndpointAt returns the newest entry of an address, and since when it is leaving or gone; zero while it is not.
func (f *Fleet) EndpointAt(address string) (basillift.Endpoint, time.Time, bool) {
	r := f.current.Load().byAddress[address]
	if r == nil {
		return basillift.Endpoint{}, time.Time{}, false
	}
	return r.target.endpoint, r.drains, true
}

// RegistryReturned tells that the registry answers again after an outage. What that answer
// says is applied with the same present time.
func (f *Fleet) RegistryReturned(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.returned, f.graceUntil = now, now.Add(returnGrace)
}

// Apply takes one change, and reports false for one that is older than what is held, which does nothing.
func (f *Fleet) Apply(now time.Time, p basillift.RegistryEntry) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	taken := f.apply(now, p)
	f.publish()
	return taken
}

// Replace takes a whole listing: entries that it lacks are gone.
func (f *Fleet) Replace(now time.Time, publications []basillift.RegistryEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := make(map[string]bool, len(publications))
	for _, p := range publications {
		listed[p.Key()] = true
		f.apply(now, p)
	}
	for key, r := range f.records {
		if !listed[key] {
			f.remove(now, key, *r, !f.returned.IsZero() && now.Sub(f.returned) < listingTime)
		}
	}
	f.publish()
}

// Tick ends the targets whose entries did not come back in time.
func (f *Fleet) Tick(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := false
	for key, r := range f.records {
		switch {
		case !r.removed.IsZero() && now.Sub(r.removed) > removedMemory:
			delete(f.records, key)
		case r.missing && !now.Before(f.graceUntil):
			f.end(now, key, *r)
			changed = true
		}
	}
	if changed {
		f.publish()
	}
}

func (f *Fleet) apply(now time.Time, p basillift.RegistryEntry) bool {
	held := f.records[p.Key()]
	if held != nil && p.Revision() < held.revision {
		return false
	}
	e, usable := p.Endpoint()
	if !usable {
		if held != nil {
			gone := *held
			gone.revision = p.Revision()
			// Removals in the answer that ends the outage are from the time of the outage; a later one is
			// news of a target that leaves.
			f.remove(now, p.Key(), gone, now.Equal(f.returned))
		}
		return true
	}
	if held != nil && e.OlderThan(held.target.endpoint) {
		return false
	}
	r := &record{revision: p.Revision(), target: &Target{endpoint: e, warmUntil: now.Add(e.WarmupRemaining())}}
	if held != nil && held.target.endpoint.StartedAt().Equal(e.StartedAt()) {
		r.target.warmUntil = earlier(held.target.warmUntil, r.target.warmUntil)
	}
	if !e.State().AcceptsRequests() {
		r.drains = now
		if held != nil && !held.drains.IsZero() {
			r.drains = held.drains
		}
	}
	f.records[p.Key()] = r
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// remove ends an entry, or keeps it for a while if the registry may have lost it in an outage. Records
// that readers may hold are never changed.
func (f *Fleet) remove(now time.Time, key string, r record, maybeLost bool) {
	if !r.removed.IsZero() {
		return
	}
	if maybeLost && r.target.endpoint.State().AcceptsRequests() {
		r.missing = true
		f.records[key] = &r
		return
	}
	f.end(now, key, r)
}

// end removes an entry.
func (f *Fleet) end(now time.Time, key string, r record) {
	r.removed, r.missing = now, false
	if r.drains.IsZero() {
		r.drains = now
	}
	f.records[key] = &r
}

// publish makes a new view for readers.
func (f *Fleet) publish() {
	v := &view{services: make(map[string][]*Target), byAddress: make(map[string]*record, len(f.records)), daemons: make(map[string]basillift.FailureDomain)}
	for _, r := range f.records {
		address := r.target.endpoint.Address()
		if o := v.byAddress[address]; o == nil || r.newerThan(o) {
			v.byAddress[address] = r
		}
	}
	for _, r := range v.byAddress {
		if !r.removed.IsZero() {
			continue
		}
		v.machines++
		e := r.target.endpoint
		if e.Daemon() != "" {
			v.daemons[e.Daemon()] = e.Domain()
		}
		if e.State().AcceptsRequests() {
			v.services[e.Service()] = append(v.services[e.Service()], r.target)
		}
	}
	for _, targets := range v.services {
		slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.endpoint.Instance(), b.endpoint.Instance()) })
	}
	f.current.Store(v)
}

// newerThan orders two entries with the same address. A removed entry, and one that is only kept for the
// registry's sake, lose against any other.
func (r *record) newerThan(o *record) bool {
	if r.removed.IsZero() != o.removed.IsZero() {
		return r.removed.IsZero()
	}
	if r.missing != o.missing {
		return o.missing
	}
	return r.revision > o.revision
}
