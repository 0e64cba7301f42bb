package bltable

import (
	"fmt"
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// Difference is what changes for one route between two tables.
type Difference struct {
	route string
	texts []string
}

// Route is the name of the route.
func (d Difference) Route() string { return d.route }

// Lines says what changes, one text for each field.
func (d Difference) Lines() []string { return d.texts }

// Diff lists what changes from one table to another, in the order of the routes' names.
func Diff(before, after basillift.RoutingSpec) []Difference {
	old, current := byName(before), byName(after)
	var all []Difference
	for _, name := range names(old, current) {
		a, was := old[name]
		b, is := current[name]
		switch {
		case !was:
			all = append(all, Difference{name, []string{"added: " + describe(b)}})
		case !is:
			all = append(all, Difference{name, []string{"removed: " + describe(a)}})
		default:
			if texts := changes(a, b); len(texts) > 0 {
				all = append(all, Difference{name, texts})
			}
		}
	}
	return all
}

func byName(r basillift.RoutingSpec) map[string]basillift.Route {
	routes := make(map[string]basillift.Route, len(r.Routes()))
	for _, each := range r.Routes() {
		routes[each.Name()] = each
	}
	return routes
}

func names(tables ...map[string]basillift.Route) []string {
	var all []string
	for _, t := range tables {
		for name := range t {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func describe(r basillift.Route) string {
	return fmt.Sprintf("%s%s to %s", r.Host(), r.Prefix(), describeShares(r.Services()))
}

func describeShares(shares []basillift.WeightedService) string {
	if len(shares) == 1 {
		return shares[0].Service()
	}
	texts := make([]string, 0, len(shares))
	for _, s := range shares {
		texts = append(texts, fmt.Sprintf("%s (%d)", s.Service(), s.Weight()))
	}
	return strings.Join(texts, ", ")
}

func changes(a, b basillift.Route) []string {
	var texts []string
	note := func(field string, before, after any) {
		if before != after {
			texts = append(texts, fmt.Sprintf("%s: %v -> %v", field, before, after))
		}
	}
	note("host", a.Host(), b.Host())
	note("prefix", a.Prefix(), b.Prefix())
	note("kind", a.Kind(), b.Kind())
	note("to", describeShares(a.Services()), describeShares(b.Services()))
	note("timeout", a.Timeout(), b.Timeout())
	note("goal", a.LatencyObjective(), b.LatencyObjective())
	note("priority", a.Priority(), b.Priority())
	note("attempts", a.Attempts(), b.Attempts())
	return texts
}

// Explain says step by step what the table does with a request.
func (t *Table) Explain(host, path string) []string {
	steps := []string{fmt.Sprintf("table: version %d with %d routes", t.Version(), len(t.RoutingSpec().Routes()))}
	r, found := t.Match(host, path)
	if !found {
		if t.hosts[host] == nil && t.hosts[plainHost(host)] == nil {
			return append(steps, fmt.Sprintf("host: no route has host %q; the answer is 404", host))
		}
		return append(steps, "path: no prefix of the host's routes begins the path; the answer is 404")
	}
	steps = append(steps,
		fmt.Sprintf("route: %s, the longest prefix is %s", r.Name(), r.Prefix()),
		fmt.Sprintf("service: %s", describeShares(r.Services())),
		fmt.Sprintf("kind: %s, to at most %d targets", r.Kind(), r.Attempts()),
		fmt.Sprintf("time: goal %s, at most %s", r.LatencyObjective(), r.Timeout()),
		fmt.Sprintf("priority: %d", r.Priority()))
	if !r.Kind().Repeatable() {
		steps = append(steps, "repeats: only if a target or its daemon said that the request did not run")
	}
	return steps
}
