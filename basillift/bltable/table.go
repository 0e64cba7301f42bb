package bltable

import (
	"strings"

	"basillift.dev/basillift"
)

// Table is a checked routing table. It never changes and is safe for concurrent use.
type Table struct {
	routing  basillift.RoutingSpec
	hosts    map[string]map[string]*basillift.Route
	services map[string]basillift.ServiceLimits
}

// Build checks a published table and prepares it for lookups. The error is an
// *InvalidError that lists the problems.
func Build(r basillift.RoutingSpec) (*Table, error) {
	t := &Table{
		routing:  r,
		hosts:    make(map[string]map[string]*basillift.Route),
		services: make(map[string]basillift.ServiceLimits, len(r.Services())),
	}
	for _, s := range r.Services() {
		t.services[s.Name()] = s
	}
	var problems []Problem
	for i := range r.Routes() {
		route := &r.Routes()[i]
		problems = append(problems, t.check(route)...)
		t.add(route)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	return t, nil
}

func (t *Table) add(r *basillift.Route) {
	host := strings.ToLower(r.Host())
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*basillift.Route)
	}
	t.hosts[host][r.Prefix()] = r
}

// Version is the published version.
func (t *Table) Version() uint64 { return t.routing.Version() }

// RoutingSpec is the published form of the table.
func (t *Table) RoutingSpec() basillift.RoutingSpec { return t.routing }

// Limits bound what callers may send.
func (t *Table) Limits() basillift.ClientLimits { return t.routing.Limits() }

// Service returns the limits of a declared service.
func (t *Table) Service(name string) (basillift.ServiceLimits, bool) {
	s, found := t.services[name]
	return s, found
}

// Match returns the route with the longest prefix of the path among the routes
// of the host. A query behind the path is not looked at, nor is a port behind the host.
func (t *Table) Match(host, target string) (*basillift.Route, bool) {
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = t.hosts[plainHost(host)]
	}
	if prefixes == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(target, "?")
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

// plainHost returns the host in lower case without a port.
func plainHost(host string) string {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon > 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.TrimSuffix(host, ".")
}
