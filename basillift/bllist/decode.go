package bllist

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// MaxParts bounds the parts of one list. At 1 MB each, 64 parts hold more than
// a million customers, and a wrong index cannot make a reader fetch without end.
const MaxParts = 64

// form says which of the shapes of a list a value may have.
type form string

const (
	formTop  form = "top"  // whole list, or index of parts
	formPart form = "part" // part of a list
)

func decodeCustomers(key string, data []byte, f form, r *report) CustomerList {
	if list, ok := fastCustomers(data); ok {
		return list
	}
	return walkCustomers(key, data, f, r)
}

func walkCustomers(key string, data []byte, f form, r *report) CustomerList {
	var list CustomerList
	w, ok := newWalker(key, data, r)
	if !ok {
		return list
	}
	hasEntries, hasParts := false, false
	w.object(nil, []string{"epoch"}, func(name string, at *path) bool {
		switch {
		case name == "epoch":
			list.Epoch = w.whole(at, 1, maxEpoch)
		case name == "customers":
			hasEntries = true
			w.array(at, func(at *path) { list.Customers = append(list.Customers, w.customer(at)) })
		case name == "parts" && f == formTop:
			hasParts = true
			list.Parts = w.parts(at)
		default:
			return false
		}
		return true
	})
	w.oneShape(hasEntries, hasParts, "customers")
	return list
}

func (w *walker) customer(at *path) CustomerEntry {
	var entry CustomerEntry
	w.object(at, []string{"name", "plan"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = w.name(at)
		case "plan":
			entry.Plan = w.name(at)
		default:
			return false
		}
		return true
	})
	return entry
}

func decodePlans(key string, data []byte, f form, r *report) PlanList {
	var list PlanList
	w, ok := newWalker(key, data, r)
	if !ok {
		return list
	}
	hasEntries, hasParts := false, false
	w.object(nil, []string{"epoch"}, func(name string, at *path) bool {
		switch {
		case name == "epoch":
			list.Epoch = w.whole(at, 1, maxEpoch)
		case name == "services":
			hasEntries = true
			list.Services = w.names(at)
		case name == "plans":
			hasEntries = true
			w.array(at, func(at *path) { list.Plans = append(list.Plans, w.plan(at)) })
		case name == "parts" && f == formTop:
			hasParts = true
			list.Parts = w.parts(at)
		default:
			return false
		}
		return true
	})
	w.oneShape(hasEntries, hasParts, "services and plans")
	return list
}

func (w *walker) plan(at *path) PlanEntry {
	var entry PlanEntry
	w.object(at, []string{"name", "services"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = w.name(at)
		case "services":
			entry.Services = w.names(at)
		case "rate":
			entry.Rate = w.whole(at, 0, maxNumber)
		case "concurrency":
			entry.Concurrency = w.whole(at, 0, maxNumber)
		case "class":
			entry.Class = w.oneOf(at, string(basillift.ClassUrgent), string(basillift.ClassNormal), string(basillift.ClassBulk))
		default:
			return false
		}
		return true
	})
	return entry
}

func (w *walker) names(at *path) []string {
	var names []string
	w.array(at, func(at *path) { names = append(names, w.name(at)) })
	return names
}

func (w *walker) parts(at *path) []string {
	var hashes []string
	w.array(at, func(at *path) {
		hash, ok := w.text(at)
		if ok && !validHash(hash) {
			w.problem(KindRange, at, quoted(hash), "the xxhash64 of a part, as 16 hexadecimal digits")
		}
		hashes = append(hashes, hash)
	})
	if len(hashes) > MaxParts {
		w.problem(KindRange, at, fmt.Sprintf("%d parts", len(hashes)), fmt.Sprintf("at most %d parts", MaxParts))
	}
	return hashes
}

func (w *walker) oneOf(at *path, allowed ...string) string {
	text, ok := w.text(at)
	if ok && !slices.Contains(allowed, text) {
		w.problem(KindRange, at, quoted(text), strings.Join(allowed, ", "))
	}
	return text
}

// oneShape reports a value that holds neither entries nor an index, or both.
func (w *walker) oneShape(hasEntries, hasParts bool, entries string) {
	if w.report.full() || hasEntries != hasParts {
		return
	}
	if hasEntries {
		w.problem(KindUnknown, nil, "both "+entries+" and parts", "either "+entries+" or parts")
		return
	}
	w.problem(KindMissing, nil, "neither "+entries+" nor parts", "either "+entries+" or parts")
}

// ParseVMs decodes the platform's list of VMs. The list may be empty: it lags
// and is no proof of anything.
func ParseVMs(data []byte) (VMList, error) {
	r := &report{}
	w, ok := newWalker(basillift.KeyVMs, data, r)
	if !ok {
		return nil, r.err(basillift.Version{})
	}
	list := VMList{}
	if w.open(nil, '[', "an array") {
		for i := 0; w.more(); i++ {
			at := (*path)(nil).item(i)
			list = append(list, w.vm(at))
		}
	}
	return list, r.err(basillift.Version{})
}

func (w *walker) vm(at *path) VMEntry {
	var entry VMEntry
	w.object(at, []string{"name", "address", "service", "domain", "region", "state"}, func(name string, at *path) bool {
		switch name {
		case "name":
			entry.Name = w.name(at)
		case "address":
			entry.Address = w.address(at)
		case "service":
			entry.Service = w.name(at)
		case "domain":
			entry.Domain = w.name(at)
		case "region":
			entry.Region = w.name(at)
		case "state":
			entry.State = w.oneOf(at, "live", "leaving")
		default:
			return false
		}
		return true
	})
	return entry
}

func (w *walker) address(at *path) string {
	text, ok := w.text(at)
	if _, err := netip.ParseAddrPort(text); ok && err != nil {
		w.problem(KindRange, at, quoted(text), "an IP address and port, such as 10.0.0.1:7400")
	}
	return text
}
