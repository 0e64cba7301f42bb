package bllist

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// ErrInconsistent means that the values were not all current at any one
// revision of the platform's store, so the reader must read again.
var ErrInconsistent = eris.New("values do not belong to one revision of the store")

// ConsistentRead is one version of both lists, as it stood at one revision of the store.
type ConsistentRead struct {
	version basillift.Version
	lists   Lists
}

// Version is the cut's epoch and the largest revision among its values.
func (c ConsistentRead) Version() basillift.Version { return c.version }

// Lists is the valid content of the cut.
func (c ConsistentRead) Lists() Lists { return c.lists }

// PartKey is the platform's key of a list's part; parts count from 1.
func PartKey(key string, part int) string { return key + "." + strconv.Itoa(part) }

// PartKeys returns the keys of the parts that the value of a list's key names,
// or none for a whole list. A value that does not decode has none either;
// Assemble reports its problems.
func PartKeys(v basillift.Value) []string {
	// Most lists are whole, and decoding a whole list just to find no parts takes as long as assembling it.
	if !bytes.Contains(v.Data(), []byte(`"parts"`)) {
		return nil
	}
	r := &report{}
	var hashes []string
	switch v.Key() {
	case basillift.KeyCustomers:
		hashes = decodeCustomers(v.Key(), v.Data(), formTop, r).Parts
	case basillift.KeyPlans:
		hashes = decodePlans(v.Key(), v.Data(), formTop, r).Parts
	}
	if len(r.problems) > 0 {
		return nil
	}
	keys := make([]string, 0, len(hashes))
	for i := range hashes {
		keys = append(keys, PartKey(v.Key(), i+1))
	}
	return keys
}

// Consistent reports whether all values were current at one revision of the
// store. A value is known to be current from its mod to the store's revision at
// its read. On a store that only counts up, this is the rule that each mod is at
// most the first read's store; it also holds for a read from a replica that lags.
func Consistent(values ...basillift.Value) bool {
	if len(values) == 0 {
		return false
	}
	newest, oldest := uint64(0), values[0].StoreRevision()
	for _, v := range values {
		newest = max(newest, v.ModRevision())
		oldest = min(oldest, v.StoreRevision())
	}
	return newest <= oldest
}

// Parse validates two lists that were not read from the platform. Its version has revision 0.
func Parse(customers, plans []byte) (Lists, error) {
	cut, err := Assemble(
		basillift.NewValue(basillift.KeyCustomers, customers, 0, 0),
		basillift.NewValue(basillift.KeyPlans, plans, 0, 0),
	)
	if err != nil {
		return Lists{}, fmt.Errorf("parse lists: %w", err)
	}
	return cut.Lists(), nil
}

// Assemble joins the values of both keys and of all their parts into one
// version. It returns ErrInconsistent when the values do not form a consistent
// cut, and an InvalidError when the lists have problems.
func Assemble(values ...basillift.Value) (ConsistentRead, error) {
	if !Consistent(values...) {
		return ConsistentRead{}, fmt.Errorf("assemble version: %w", ErrInconsistent)
	}
	a := assembly{values: make(map[string]basillift.Value, len(values))}
	for _, v := range values {
		a.values[v.Key()] = v
	}
	customers := a.customers()
	plans := a.plans()
	a.validate(customers, plans)
	version := basillift.NewVersion(a.epoch, newestRevision(values))
	if err := a.report.err(version); err != nil {
		return ConsistentRead{}, fmt.Errorf("assemble version: %w", err)
	}
	return ConsistentRead{version: version, lists: join(a.epoch, customers, plans)}, nil
}

func newestRevision(values []basillift.Value) uint64 {
	newest := uint64(0)
	for _, v := range values {
		newest = max(newest, v.ModRevision())
	}
	return newest
}

type assembly struct {
	values map[string]basillift.Value
	report report
	epoch  uint64
}

func (a *assembly) problem(k Kind, key, field, found, allowed string) {
	a.report.add(Problem{kind: k, key: key, field: field, found: found, allowed: allowed})
}

func (a *assembly) data(key string) ([]byte, bool) {
	value, ok := a.values[key]
	if !ok {
		a.problem(KindMissing, key, "", "no value", "a value under this key")
	}
	return value.Data(), ok
}

func (a *assembly) customers() []decoded[CustomerList] {
	data, ok := a.data(basillift.KeyCustomers)
	if !ok {
		return nil
	}
	top := decodeCustomers(basillift.KeyCustomers, data, formTop, &a.report)
	a.raiseEpoch(top.Epoch)
	if len(top.Parts) == 0 {
		return []decoded[CustomerList]{{key: basillift.KeyCustomers, list: top}}
	}
	var parts []decoded[CustomerList]
	for i, h := range top.Parts {
		key := PartKey(basillift.KeyCustomers, i+1)
		if data, ok := a.part(key, h); ok {
			list := decodeCustomers(key, data, formPart, &a.report)
			a.sameEpoch(key, top.Epoch, list.Epoch)
			parts = append(parts, decoded[CustomerList]{key: key, list: list})
		}
	}
	return parts
}

func (a *assembly) plans() []decoded[PlanList] {
	data, ok := a.data(basillift.KeyPlans)
	if !ok {
		return nil
	}
	top := decodePlans(basillift.KeyPlans, data, formTop, &a.report)
	a.raiseEpoch(top.Epoch)
	if len(top.Parts) == 0 {
		return []decoded[PlanList]{{key: basillift.KeyPlans, list: top}}
	}
	var parts []decoded[PlanList]
	for i, h := range top.Parts {
		key := PartKey(basillift.KeyPlans, i+1)
		if data, ok := a.part(key, h); ok {
			list := decodePlans(key, data, formPart, &a.report)
			a.sameEpoch(key, top.Epoch, list.Epoch)
			parts = append(parts, decoded[PlanList]{key: key, list: list})
		}
	}
	return parts
}

// part returns the data of a part whose hash the index names. Another hash means
// that the part was written before or after the index.
func (a *assembly) part(key, hash string) ([]byte, bool) {
	data, ok := a.data(key)
	if !ok {
		return nil, false
	}
	if found := Hash(data); found != hash {
		a.problem(KindPart, key, "", "a part with the hash "+found, "the part with the hash "+hash+" that the index names")
		return nil, false
	}
	return data, true
}

func (a *assembly) raiseEpoch(epoch int) { a.epoch = max(a.epoch, uint64(epoch)) }

func (a *assembly) sameEpoch(key string, index, part int) {
	if part != 0 && part != index {
		a.problem(KindPart, key, "epoch", strconv.Itoa(part), strconv.Itoa(index)+", the epoch of the index")
	}
}

// validate checks references only between lists that decoded without a problem:
// a list that is missing in part would make every reference to it a problem too.
func (a *assembly) validate(customers []decoded[CustomerList], plans []decoded[PlanList]) {
	if len(a.report.problems) > 0 {
		return
	}
	v := &validator{report: &a.report}
	v.checkServices(plans)
	v.checkPlans(plans)
	v.checkCustomers(customers)
}

func join(epoch uint64, customers []decoded[CustomerList], plans []decoded[PlanList]) Lists {
	var l Lists
	for _, p := range plans {
		l.services = append(l.services, p.list.Services...)
		for _, e := range p.list.Plans {
			l.plans = append(l.plans, basillift.NewPlan(e.Name, e.Services, e.Rate, e.Concurrency, basillift.Class(e.Class)))
		}
	}
	count := 0
	for _, p := range customers {
		count += len(p.list.Customers)
	}
	l.customers = make([]Customer, 0, count)
	for _, p := range customers {
		for _, c := range p.list.Customers {
			l.customers = append(l.customers, NewCustomer(c.Name, c.Plan))
		}
	}
	return NewLists(epoch, l.services, l.plans, l.customers)
}

// Hash is the xxhash64 of a part as the index of its list names it.
func Hash(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }

func validHash(text string) bool {
	if len(text) != 16 {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
