package bltable

import (
	"strings"

	"basillift.dev/basillift"
)

// Table is a valid routing table, prepared for lookups. It is immutable and safe for concurrent use.
type Table struct {
	routing basillift.RoutingSpec
	// routesByHost maps lowercase host names to routes by prefix.
	routesByHost map[string]map[string]*basillift.Route
	services     map[string]basillift.ServiceLimits
}

// Build validates a published table and prepares it for lookups. The error is an *InvalidError that lists all
// problems.
func Build(r basillift.RoutingSpec) (*Table, error) {
	t := &Table{
		routing:      r,
		routesByHost: make(map[string]map[string]*basillift.Route),
		services:     make(map[string]basillift.ServiceLimits, len(r.Services())),
	}
	var problems []Problem
	for _, s := range r.Services() {
		t.services[s.Name()] = s
		problems = append(problems, checkColdStart(s)...)
	}
	for i := range r.Routes() {
		route := &r.Routes()[i]
		problems = append(problems, t.checkRoute(route)...)
		t.addRoute(route)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	return t, nil
}

func (t *Table) addRoute(r *basillift.Route) {
	host := strings.ToLower(r.Host())
	if t.routesByHost[host] == nil {
		t.routesByHost[host] = make(map[string]*basillift.Route)
	}
	t.routesByHost[host][r.Prefix()] = r
}

// Version returns the version under which the table was published.
func (t *Table) Version() uint64 { return t.routing.Version() }

// RoutingSpec returns the published form of the table.
func (t *Table) RoutingSpec() basillift.RoutingSpec { return t.routing }

// Limits returns the limits for requests of callers.
func (t *Table) Limits() basillift.ClientLimits { return t.routing.Limits() }

// Service returns the limits of a service, or false if the table does not declare it.
func (t *Table) Service(name string) (basillift.ServiceLimits, bool) {
	s, found := t.services[name]
	return s, found
}

// Match returns the route of the host with the longest prefix of the path. It ignores the query of the request URI
// and the port of the host.
func (t *Table) Match(host, requestURI string) (*basillift.Route, bool) {
	prefixes := t.routesByHost[host]
	if prefixes == nil {
		prefixes = t.routesByHost[NormalizeHost(host)]
	}
	if prefixes == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(requestURI, "?")
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// NormalizeHost returns the host in lower case, without the port and a trailing dot.
func NormalizeHost(host string) string {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon > 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.TrimSuffix(host, ".")
}
