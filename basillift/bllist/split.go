package bllist

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// Entry is a key and a value to write to the platform.
type Entry struct {
	key  string
	data []byte
}

// Key returns the platform's key, such as "customers" or "plans.2".
func (e Entry) Key() string { return e.key }

// Data returns the value as JSON. The caller must not modify it.
func (e Entry) Data() []byte { return e.data }

// Split encodes both lists into values of at most limit bytes. The entries are in the
// order in which they must be written: all parts before their index, so that a reader
// never finds an index whose parts do not exist yet. It returns an error if an entry
// is larger than the limit or if a list needs more than MaxParts parts.
func Split(l Lists, limit int) ([]Entry, error) {
	plans, err := splitPlans(l, limit)
	if err != nil {
		return nil, fmt.Errorf("split plans: %w", err)
	}
	customers, err := splitCustomers(l, limit)
	if err != nil {
		return nil, fmt.Errorf("split customers: %w", err)
	}
	entries := append(plans, customers...)
	for _, e := range entries {
		if len(e.data) > limit {
			return nil, eris.Errorf("%s needs %d bytes, at most %d are allowed", e.key, len(e.data), limit)
		}
	}
	return entries, nil
}

func splitCustomers(l Lists, limit int) ([]Entry, error) {
	epoch := int(l.epoch)
	items := make([]json.RawMessage, 0, len(l.customers))
	for _, c := range l.customers {
		items = append(items, mustEncode(CustomerEntry{Name: c.name, Plan: c.plan}))
	}
	groups, err := groupSizes(items, limit)
	if err != nil {
		return nil, fmt.Errorf("group customers: %w", err)
	}
	if len(groups) == 1 {
		data := canonicalCustomers(epoch, customerEntries(l.customers), limit)
		return []Entry{{key: basillift.KeyCustomers, data: data}}, nil
	}
	var entries []Entry
	var hashes []string
	first := 0
	for i, n := range groups {
		data := canonicalCustomers(epoch, customerEntries(l.customers[first:first+n]), limit)
		first += n
		entries = append(entries, Entry{key: PartKey(basillift.KeyCustomers, i+1), data: data})
		hashes = append(hashes, PartHash(data))
	}
	index := mustEncode(CustomerList{Epoch: epoch, Parts: hashes})
	return append(entries, Entry{key: basillift.KeyCustomers, data: index}), nil
}

func splitPlans(l Lists, limit int) ([]Entry, error) {
	epoch := int(l.epoch)
	services := mustEncode(l.services)
	items := make([]json.RawMessage, 0, len(l.plans)+1)
	items = append(items, services)
	for _, p := range l.plans {
		items = append(items, mustEncode(planEntry(p)))
	}
	groups, err := groupSizes(items, limit)
	if err != nil {
		return nil, fmt.Errorf("group plans: %w", err)
	}
	if len(groups) == 1 {
		list := PlanList{Epoch: epoch, Services: l.services, Plans: planEntries(l.plans)}
		return []Entry{{key: basillift.KeyPlans, data: mustEncode(list)}}, nil
	}
	var entries []Entry
	var hashes []string
	first := -1 // The first item is the list of services, which is not a plan.
	for i, n := range groups {
		list := PlanList{Epoch: epoch, Plans: planEntries(l.plans[max(first, 0) : first+n])}
		if i == 0 {
			list.Services = l.services
		}
		first += n
		data := mustEncode(list)
		entries = append(entries, Entry{key: PartKey(basillift.KeyPlans, i+1), data: data})
		hashes = append(hashes, PartHash(data))
	}
	index := mustEncode(PlanList{Epoch: epoch, Parts: hashes})
	return append(entries, Entry{key: basillift.KeyPlans, data: index}), nil
}

// groupSizes returns the number of consecutive items in each value.
func groupSizes(items []json.RawMessage, limit int) ([]int, error) {
	const overheadBytes = 96 // upper bound for the epoch, field names and brackets of a list
	var groups []int
	size, count := overheadBytes, 0
	for _, m := range items {
		if len(m)+1+overheadBytes > limit {
			return nil, eris.Errorf("an entry of %d bytes does not fit in a value of %d bytes", len(m), limit)
		}
		if size+len(m)+1 > limit {
			groups = append(groups, count)
			size, count = overheadBytes, 0
		}
		size += len(m) + 1
		count++
	}
	groups = append(groups, count)
	if len(groups) > MaxParts {
		return nil, eris.Errorf("the list needs %d parts, at most %d are allowed", len(groups), MaxParts)
	}
	return groups, nil
}

func customerEntries(customers []Customer) []CustomerEntry {
	entries := make([]CustomerEntry, 0, len(customers))
	for _, c := range customers {
		entries = append(entries, CustomerEntry{Name: c.name, Plan: c.plan})
	}
	return entries
}

func planEntries(plans []basillift.Plan) []PlanEntry {
	entries := make([]PlanEntry, 0, len(plans))
	for _, p := range plans {
		entries = append(entries, planEntry(p))
	}
	return entries
}

func planEntry(p basillift.Plan) PlanEntry {
	return PlanEntry{
		Name: p.Name(), Services: p.Services(), Rate: p.Rate(),
		Concurrency: p.Concurrency(), Class: string(p.Class()),
	}
}

// mustEncode encodes a value of the generated types. They contain only strings and
// numbers, so encoding cannot fail.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
