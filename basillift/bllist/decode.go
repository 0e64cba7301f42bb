package bllist

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// MaxParts is the maximum number of parts of one list. At 1 MB each, 64 parts hold
// more than a million customers. The limit also bounds the reads that an incorrect
// index can cause.
const MaxParts = 64

// listForm says whether a value is stored under a list's own key or under the key of
// a part.
type listForm string

const (
	formTop  listForm = "top"  // a whole list or an index of parts
	formPart listForm = "part" // a part, which holds entries but no index
)

func decodeCustomers(key string, data []byte, f listForm, r *report) CustomerList {
	if list, ok := decodeCanonicalCustomers(data); ok {
		return list
	}
	return decodeCustomersStrict(key, data, f, r)
}

func decodeCustomersStrict(key string, data []byte, f listForm, r *report) CustomerList {
	var list CustomerList
	d, ok := newStrictDecoder(key, data, r)
	if !ok {
		return list
	}
	hasEntries, hasParts := false, false
	d.object(nil, []string{"epoch"}, func(name string, at *path) bool {
		switch {
		case name == "epoch":
			list.Epoch = d.integer(at, 1, maxEpoch)
		case name == "customers":
			hasEntries = true
			d.array(at, func(at *path) { list.Customers = append(list.Customers, d.customer(at)) })
		case name == "parts" && f == formTop:
			hasParts = true
			list.Parts = d.parts(at)
		default:
			return false
		}
		return true
	})
	d.checkEntriesOrParts(hasEntries, hasParts, "customers")
	return list
}

func (d *strictDecoder) customer(at *path) CustomerEntry {
	var entry CustomerEntry
	d.object(at, []string{"name", "plan"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = d.name(at)
		case "plan":
			entry.Plan = d.name(at)
		default:
			return false
		}
		return true
	})
	return entry
}

func decodePlans(key string, data []byte, f listForm, r *report) PlanList {
	var list PlanList
	d, ok := newStrictDecoder(key, data, r)
	if !ok {
		return list
	}
	hasEntries, hasParts := false, false
	d.object(nil, []string{"epoch"}, func(name string, at *path) bool {
		switch {
		case name == "epoch":
			list.Epoch = d.integer(at, 1, maxEpoch)
		case name == "services":
			hasEntries = true
			list.Services = d.names(at)
		case name == "plans":
			hasEntries = true
			d.array(at, func(at *path) { list.Plans = append(list.Plans, d.plan(at)) })
		case name == "parts" && f == formTop:
			hasParts = true
			list.Parts = d.parts(at)
		default:
			return false
		}
		return true
	})
	d.checkEntriesOrParts(hasEntries, hasParts, "services and plans")
	return list
}

func (d *strictDecoder) plan(at *path) PlanEntry {
	var entry PlanEntry
	d.object(at, []string{"name", "services"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = d.name(at)
		case "services":
			entry.Services = d.names(at)
		case "rate":
			entry.Rate = d.integer(at, 0, maxPlanLimit)
		case "concurrency":
			entry.Concurrency = d.integer(at, 0, maxPlanLimit)
		case "class":
			entry.Class = d.oneOf(at, string(basillift.ClassUrgent), string(basillift.ClassNormal), string(basillift.ClassBulk))
		default:
			return false
		}
		return true
	})
	return entry
}

func (d *strictDecoder) names(at *path) []string {
	var names []string
	d.array(at, func(at *path) { names = append(names, d.name(at)) })
	return names
}

func (d *strictDecoder) parts(at *path) []string {
	var hashes []string
	d.array(at, func(at *path) {
		hash, ok := d.stringValue(at)
		if ok && !validHash(hash) {
			d.problem(KindRange, at, quoteTruncated(hash), "the xxhash64 of a part, as 16 hexadecimal digits")
		}
		hashes = append(hashes, hash)
	})
	if len(hashes) > MaxParts {
		d.problem(KindRange, at, fmt.Sprintf("%d parts", len(hashes)), fmt.Sprintf("at most %d parts", MaxParts))
	}
	return hashes
}

func (d *strictDecoder) oneOf(at *path, allowed ...string) string {
	text, ok := d.stringValue(at)
	if ok && !slices.Contains(allowed, text) {
		d.problem(KindRange, at, quoteTruncated(text), strings.Join(allowed, ", "))
	}
	return text
}

// checkEntriesOrParts reports a problem unless the value holds either entries or an
// index of parts.
func (d *strictDecoder) checkEntriesOrParts(hasEntries, hasParts bool, entries string) {
	if d.report.full() || hasEntries != hasParts {
		return
	}
	if hasEntries {
		d.problem(KindUnknown, nil, "both "+entries+" and parts", "either "+entries+" or parts")
		return
	}
	d.problem(KindMissing, nil, "neither "+entries+" nor parts", "either "+entries+" or parts")
}

// ParseVMs decodes and validates the platform's list of VMs. The list may be empty:
// it lags behind the actual VMs, so a missing VM does not mean that it is gone.
func ParseVMs(data []byte) (VMList, error) {
	r := &report{}
	d, ok := newStrictDecoder(basillift.KeyVMs, data, r)
	if !ok {
		return nil, r.err(basillift.Version{})
	}
	list := VMList{}
	if d.openDelimiter(nil, '[', "an array") {
		for i := 0; d.more(); i++ {
			at := (*path)(nil).item(i)
			list = append(list, d.vm(at))
		}
	}
	return list, r.err(basillift.Version{})
}

func (d *strictDecoder) vm(at *path) VMEntry {
	var entry VMEntry
	d.object(at, []string{"name", "address", "service", "domain", "region", "state"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = d.name(at)
		case "address":
			entry.Address = d.address(at)
		case "service":
			entry.Service = d.name(at)
		case "domain":
			entry.Domain = d.name(at)
		case "region":
			entry.Region = d.name(at)
		case "state":
			entry.State = d.oneOf(at, "live", "leaving")
		default:
			return false
		}
		return true
	})
	return entry
}

func (d *strictDecoder) address(at *path) string {
	text, ok := d.stringValue(at)
	if _, err := netip.ParseAddrPort(text); ok && err != nil {
		d.problem(KindRange, at, quoteTruncated(text), "an IP address and port, such as 10.0.0.1:7400")
	}
	return text
}
