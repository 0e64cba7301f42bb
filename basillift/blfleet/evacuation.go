package blfleet

import (
	"cmp"
	"slices"
	"time"

	"basillift.dev/basillift"
)

// Evacuation is a present evacuation of a failure domain.
type Evacuation struct {
	domain      basillift.FailureDomain
	since       time.Time
	targetCount int
}

// Domain is the evacuated failure domain.
func (e Evacuation) Domain() basillift.FailureDomain { return e.domain }

// Since is when this daemon learned of the evacuation.
func (e Evacuation) Since() time.Time { return e.since }

// TargetCount is the number of targets that get no requests because of the evacuation.
func (e Evacuation) TargetCount() int { return e.targetCount }

// Evacuated returns since when a failure domain is evacuated, as far as this daemon knows, and whether it is.
func (f *Fleet) Evacuated(domain basillift.FailureDomain) (since time.Time, evacuated bool) {
	e, evacuated := f.current.Load().evacuations[domain]
	return e.since, evacuated
}

// EvacuationEnded returns when this daemon learned that the last evacuation of a failure domain had ended. It returns false
// while the failure domain is evacuated, and from removedEntryTTL after the end.
func (f *Fleet) EvacuationEnded(domain basillift.FailureDomain) (at time.Time, known bool) {
	at, known = f.current.Load().evacuationEnds[domain]
	return at, known
}

// ReplaceEvacuations applies the evacuations of a complete listing at a revision, and nothing else of it.
func (f *Fleet) ReplaceEvacuations(now time.Time, revision basillift.Revision, entries []basillift.RegistryEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evacuations.replace(now, revision, entries)
	f.updateSnapshot()
}

// AnyEvacuated reports whether any failure domain is evacuated.
func (f *Fleet) AnyEvacuated() bool { return len(f.current.Load().evacuations) > 0 }

// Evacuations returns the present evacuations, ordered by failure domain.
func (f *Fleet) Evacuations() []Evacuation {
	current := f.current.Load().evacuations
	if len(current) == 0 {
		return nil
	}
	all := make([]Evacuation, 0, len(current))
	for _, e := range current {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evacuation) int { return cmp.Compare(a.domain, b.domain) })
	return all
}

// EvacuatedTargets returns the targets of a service that would be usable if their failure domains were not evacuated, ordered by
// instance. The slice must not be modified.
func (f *Fleet) EvacuatedTargets(service string) []*Target {
	return f.current.Load().evacuatedByService[service]
}

// evacuationKey is the state of the key of one evacuation.
type evacuationKey struct {
	domain basillift.FailureDomain
	// changed is the revision of the last change of the key. confirmed is the newest state of the registry in which that change
	// is known to be the last one; listings raise it.
	changed, confirmed basillift.Revision
	since              time.Time
	// endedAt is when the key was removed; zero while it exists. Removed keys are kept for removedEntryTTL, since an older entry may
	// still arrive.
	endedAt time.Time
}

// evacuations holds the keys of evacuations that exist or were removed lately.
type evacuations map[string]*evacuationKey

// holds reports whether an entry is one of an evacuation. That of a deleted key may not say so.
func (es evacuations) holds(entry basillift.RegistryEntry) bool {
	_, begins := entry.Evacuation()
	_, ends := entry.EvacuationEnd()
	return begins || ends || es[entry.Key()] != nil
}

// apply applies a change of a key. It returns false for a change that is older than what is known.
func (es evacuations) apply(now time.Time, entry basillift.RegistryEntry) bool {
	k := es[entry.Key()]
	if k != nil && entry.Revision() < k.confirmed {
		return false
	}
	domain, begins := entry.Evacuation()
	if k == nil {
		if !begins {
			domain, _ = entry.EvacuationEnd()
		}
		k = &evacuationKey{domain: domain}
		es[entry.Key()] = k
	}
	isNew := entry.Revision() > k.changed
	k.changed, k.confirmed = entry.Revision(), entry.Revision()
	switch {
	case begins && (k.since.IsZero() || !k.endedAt.IsZero()):
		k.since, k.endedAt = now, time.Time{}
	case !begins && (k.endedAt.IsZero() || isNew):
		k.endedAt = now
	}
	return true
}

// replace applies a complete listing and returns the entries of the keys that are known then. A key that the listing lacks was
// removed if the listing is not older than what is known of the key. A registry that was restored from a copy may have lost the
// key, so it does not end the evacuation until the key is written again.
func (es evacuations) replace(now time.Time, revision basillift.Revision, entries []basillift.RegistryEntry) (current []basillift.RegistryEntry) {
	listed := make(map[string]bool)
	for _, entry := range entries {
		if !es.holds(entry) {
			continue
		}
		listed[entry.Key()] = true
		// A reader's listing may have a key of an era before that the registry lacks.
		if es.apply(now, entry) && entry.Revision().Era() == revision.Era() {
			k := es[entry.Key()]
			k.confirmed = max(k.confirmed, revision)
		}
	}
	for key, k := range es {
		if !listed[key] && k.endedAt.IsZero() && k.confirmed <= revision && k.confirmed.Era() == revision.Era() {
			k.changed, k.confirmed, k.endedAt = revision, revision, now
		}
		current = append(current, k.entry(key))
	}
	return current
}

// entry returns the entry of the key with its last change.
func (k *evacuationKey) entry(key string) basillift.RegistryEntry {
	entry := basillift.NewRegistryEntry(key, k.changed)
	if k.endedAt.IsZero() {
		return entry.WithEvacuation(k.domain)
	}
	return entry.WithEvacuationEnd(k.domain)
}

// forget removes the keys that were removed long ago and reports whether there were any.
func (es evacuations) forget(now time.Time) (changed bool) {
	for key, k := range es {
		if !k.endedAt.IsZero() && now.Sub(k.endedAt) > removedEntryTTL {
			delete(es, key)
			changed = true
		}
	}
	return changed
}

// byDomain returns the present evacuations and the ends of the others. The maps are nil without any.
func (es evacuations) byDomain() (present map[basillift.FailureDomain]Evacuation, ends map[basillift.FailureDomain]time.Time) {
	if len(es) == 0 {
		return nil, nil
	}
	present, ends = make(map[basillift.FailureDomain]Evacuation), make(map[basillift.FailureDomain]time.Time)
	for _, k := range es {
		if k.endedAt.IsZero() {
			present[k.domain] = Evacuation{domain: k.domain, since: k.since}
		} else {
			ends[k.domain] = k.endedAt
		}
	}
	return present, ends
}
