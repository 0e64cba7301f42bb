package bllist

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// ErrInconsistent means that there is no revision of the platform's store at which
// all values were current. The reader must read them again.
var ErrInconsistent = eris.New("values do not belong to one revision of the store")

// ConsistentRead is the content of both lists at one revision of the platform's store.
type ConsistentRead struct {
	version basillift.Version
	lists   Lists
}

// Version returns the version of the lists: the larger epoch of the two lists, and
// the largest modification revision of the values.
func (c ConsistentRead) Version() basillift.Version { return c.version }

// Lists returns the validated content of both lists.
func (c ConsistentRead) Lists() Lists { return c.lists }

// PartKey returns the platform's key of a part of a list, such as "plans.2". Parts
// are numbered from 1.
func PartKey(key string, part int) string { return key + "." + strconv.Itoa(part) }

// PartKeys returns the keys of the parts in a list's index, or nil if the value
// holds the whole list. It also returns nil for an invalid value, whose problems
// Assemble reports.
func PartKeys(v basillift.Value) []string {
	// Most lists have no parts. Decoding a whole list only to find that out takes as
	// long as assembling it.
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
// platform's store. A value was current at least from its modification revision to
// the store revision at which it was read. These ranges overlap if no modification
// revision is larger than the smallest store revision. The smallest store revision is
// that of the first read, unless a later read came from a lagging replica or the store
// was reset to lower revisions.
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

// Parse validates two lists that do not come from the platform. The version in an
// InvalidError then has revision 0.
func Parse(customers, plans []byte) (Lists, error) {
	read, err := Assemble(
		basillift.NewValue(basillift.KeyCustomers, customers, 0, 0),
		basillift.NewValue(basillift.KeyPlans, plans, 0, 0),
	)
	if err != nil {
		return Lists{}, fmt.Errorf("parse lists: %w", err)
	}
	return read.Lists(), nil
}

// Assemble combines the values of both lists and of all their parts into one
// version. It returns ErrInconsistent if the values are not from a consistent read,
// and an InvalidError if the lists are invalid.
func Assemble(values ...basillift.Value) (ConsistentRead, error) {
	if !Consistent(values...) {
		return ConsistentRead{}, fmt.Errorf("assemble version: %w", ErrInconsistent)
	}
	a := assembler{values: make(map[string]basillift.Value, len(values))}
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
	return ConsistentRead{version: version, lists: joinParts(a.epoch, customers, plans)}, nil
}

func newestRevision(values []basillift.Value) uint64 {
	newest := uint64(0)
	for _, v := range values {
		newest = max(newest, v.ModRevision())
	}
	return newest
}

type assembler struct {
	values map[string]basillift.Value
	report report
	epoch  uint64
}

func (a *assembler) problem(k Kind, key, field, found, allowed string) {
	a.report.add(Problem{kind: k, key: key, field: field, found: found, allowed: allowed})
}

func (a *assembler) valueData(key string) ([]byte, bool) {
	value, ok := a.values[key]
	if !ok {
		a.problem(KindMissing, key, "", "no value", "a value under this key")
	}
	return value.Data(), ok
}

func (a *assembler) customers() []decodedValue[CustomerList] {
	data, ok := a.valueData(basillift.KeyCustomers)
	if !ok {
		return nil
	}
	top := decodeCustomers(basillift.KeyCustomers, data, formTop, &a.report)
	a.raiseToEpoch(top.Epoch)
	if len(top.Parts) == 0 {
		return []decodedValue[CustomerList]{{key: basillift.KeyCustomers, list: top}}
	}
	var parts []decodedValue[CustomerList]
	for i, h := range top.Parts {
		key := PartKey(basillift.KeyCustomers, i+1)
		if data, ok := a.partData(key, h); ok {
			list := decodeCustomers(key, data, formPart, &a.report)
			a.checkPartEpoch(key, top.Epoch, list.Epoch)
			parts = append(parts, decodedValue[CustomerList]{key: key, list: list})
		}
	}
	return parts
}

func (a *assembler) plans() []decodedValue[PlanList] {
	data, ok := a.valueData(basillift.KeyPlans)
	if !ok {
		return nil
	}
	top := decodePlans(basillift.KeyPlans, data, formTop, &a.report)
	a.raiseToEpoch(top.Epoch)
	if len(top.Parts) == 0 {
		return []decodedValue[PlanList]{{key: basillift.KeyPlans, list: top}}
	}
	var parts []decodedValue[PlanList]
	for i, h := range top.Parts {
		key := PartKey(basillift.KeyPlans, i+1)
		if data, ok := a.partData(key, h); ok {
			list := decodePlans(key, data, formPart, &a.report)
			a.checkPartEpoch(key, top.Epoch, list.Epoch)
			parts = append(parts, decodedValue[PlanList]{key: key, list: list})
		}
	}
	return parts
}

// partData returns the data of a part, or false after reporting a problem if the
// part is missing or its hash differs from the one in the index. A different hash
// means that part and index come from different writes of the list.
func (a *assembler) partData(key, hash string) ([]byte, bool) {
	data, ok := a.valueData(key)
	if !ok {
		return nil, false
	}
	if found := PartHash(data); found != hash {
		a.problem(KindPart, key, "", "a part with the hash "+found, "the part with the hash "+hash+" that the index names")
		return nil, false
	}
	return data, true
}

func (a *assembler) raiseToEpoch(epoch int) { a.epoch = max(a.epoch, uint64(epoch)) }

func (a *assembler) checkPartEpoch(key string, index, part int) {
	if part != 0 && part != index {
		a.problem(KindPart, key, "epoch", strconv.Itoa(part), strconv.Itoa(index)+", the epoch of the index")
	}
}

// validate checks duplicates and references, but only if both lists were decoded
// without a problem. Otherwise each reference to a missing entry would be reported
// as a further problem.
func (a *assembler) validate(customers []decodedValue[CustomerList], plans []decodedValue[PlanList]) {
	if len(a.report.problems) > 0 {
		return
	}
	v := &validator{report: &a.report}
	v.checkServices(plans)
	v.checkPlans(plans)
	v.checkCustomers(customers)
}

func joinParts(epoch uint64, customers []decodedValue[CustomerList], plans []decodedValue[PlanList]) Lists {
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

// PartHash returns the xxhash64 of a part as 16 hexadecimal digits, the form used in the
// index of a list.
func PartHash(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }

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
