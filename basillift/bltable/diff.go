package bltable

import (
	"fmt"
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// Difference describes the changes of one route between two tables.
type Difference struct {
	route string
	lines []string
}

// Route is the name of the route.
func (d Difference) Route() string { return d.route }

// Lines describes the changes, one line for each field, or one line for a route that is added or removed.
func (d Difference) Lines() []string { return d.lines }

// Diff returns the differences between two tables, sorted by route name. Unchanged routes are omitted.
func Diff(before, after basillift.RoutingSpec) []Difference {
	old, current := routesByName(before), routesByName(after)
	var differences []Difference
	for _, name := range routeNames(old, current) {
		a, inBefore := old[name]
		b, inAfter := current[name]
		switch {
		case !inBefore:
			differences = append(differences, Difference{name, []string{"added: " + describeRoute(b)}})
		case !inAfter:
			differences = append(differences, Difference{name, []string{"removed: " + describeRoute(a)}})
		default:
			if lines := changedFields(a, b); len(lines) > 0 {
				differences = append(differences, Difference{name, lines})
			}
		}
	}
	return differences
}

func routesByName(spec basillift.RoutingSpec) map[string]basillift.Route {
	byName := make(map[string]basillift.Route, len(spec.Routes()))
	for _, r := range spec.Routes() {
		byName[r.Name()] = r
	}
	return byName
}

func routeNames(tables ...map[string]basillift.Route) []string {
	var names []string
	for _, t := range tables {
		for name := range t {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func describeRoute(r basillift.Route) string {
	return fmt.Sprintf("%s%s to %s", r.Host(), r.Prefix(), describeServices(r.Services()))
}

func describeServices(services []basillift.WeightedService) string {
	if len(services) == 1 {
		return services[0].Service()
	}
	parts := make([]string, 0, len(services))
	for _, s := range services {
		parts = append(parts, fmt.Sprintf("%s (%d)", s.Service(), s.Weight()))
	}
	return strings.Join(parts, ", ")
}

func changedFields(a, b basillift.Route) []string {
	var lines []string
	compare := func(field string, before, after any) {
		if before != after {
			lines = append(lines, fmt.Sprintf("%s: %v -> %v", field, before, after))
		}
	}
	compare("host", a.Host(), b.Host())
	compare("prefix", a.Prefix(), b.Prefix())
	compare("kind", a.Kind(), b.Kind())
	compare("to", describeServices(a.Services()), describeServices(b.Services()))
	compare("timeout", a.Timeout(), b.Timeout())
	compare("goal", a.LatencyObjective(), b.LatencyObjective())
	compare("priority", a.Priority(), b.Priority())
	compare("attempts", a.Attempts(), b.Attempts())
	return lines
}

// Explain describes step by step how the table routes a request, one line for each step.
func (t *Table) Explain(host, path string) []string {
	steps := []string{fmt.Sprintf("table: version %d with %d routes", t.Version(), len(t.RoutingSpec().Routes()))}
	r, found := t.Match(host, path)
	if !found {
		if t.routesByHost[host] == nil && t.routesByHost[NormalizeHost(host)] == nil {
			return append(steps, fmt.Sprintf("host: no route has host %q; the answer is 404", host))
		}
		return append(steps, "path: no prefix of the host's routes matches; the answer is 404")
	}
	steps = append(steps,
		fmt.Sprintf("route: %s, the longest prefix is %s", r.Name(), r.Prefix()),
		fmt.Sprintf("service: %s", describeServices(r.Services())),
		fmt.Sprintf("kind: %s, sent to at most %d targets", r.Kind(), r.Attempts()),
		fmt.Sprintf("time: goal %s, timeout %s", r.LatencyObjective(), r.Timeout()),
		fmt.Sprintf("priority: %d", r.Priority()))
	for _, s := range r.Services() {
		limits, _ := t.Service(s.Service())
		if warmup, perSecond, limited := limits.ColdStart(); limited {
			steps = append(steps, fmt.Sprintf("cold targets of %s: %.3g requests per second, for %s after a start", s.Service(), perSecond, warmup))
		}
	}
	if !r.Kind().Retryable() {
		steps = append(steps, "retries: only if a target or its daemon reported that the request did not run")
	}
	return steps
}
