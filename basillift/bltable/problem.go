package bltable

import (
	"fmt"
	"math"
	"strings"

	"basillift.dev/basillift"
)

// Problem is one reason to refuse a table.
type Problem struct {
	// subject is what the problem concerns: a route or a service, with its name.
	subject string
	field   string
	found   string
	allowed string
}

// String describes the problem by route or service, field, found value and allowed values.
func (p Problem) String() string {
	return fmt.Sprintf("%s, field %s: found %s, allowed is %s", p.subject, p.field, p.found, p.allowed)
}

// InvalidError refuses a table as a whole. It wraps basillift.ErrRefused.
type InvalidError struct{ problems []Problem }

// Problems lists all problems of the table.
func (e *InvalidError) Problems() []Problem { return e.problems }

// Error lists all problems on one line.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.problems))
	for i, p := range e.problems {
		texts[i] = p.String()
	}
	return "invalid routing table: " + strings.Join(texts, "; ")
}

// Unwrap always returns basillift.ErrRefused.
func (e *InvalidError) Unwrap() error { return basillift.ErrRefused }

// checkColdStart returns the problems of a service's cold start.
func checkColdStart(s basillift.ServiceLimits) []Problem {
	var problems []Problem
	add := func(field, found, allowed string) {
		problems = append(problems, Problem{subject: fmt.Sprintf("service %q", s.Name()), field: field, found: found, allowed: allowed})
	}
	warmup, perSecond, _ := s.ColdStart()
	if warmup < 0 {
		add("warmup", warmup.String(), "a time that is not negative")
	}
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		add("coldPerSecond", fmt.Sprint(perSecond), "a number of 0 or more")
	}
	return problems
}

// checkRoute returns the problems of a route.
func (t *Table) checkRoute(r *basillift.Route) []Problem {
	var problems []Problem
	add := func(field, found, allowed string) {
		problems = append(problems, Problem{subject: fmt.Sprintf("route %q", r.Name()), field: field, found: found, allowed: allowed})
	}
	if r.Host() == "" {
		add("host", "nothing", "a host name")
	}
	if !strings.HasPrefix(r.Prefix(), "/") || !strings.HasSuffix(r.Prefix(), "/") {
		add("prefix", fmt.Sprintf("%q", r.Prefix()), "a path that begins and ends with a slash")
	}
	switch r.Kind() {
	case basillift.KindIdempotent, basillift.KindNonIdempotent, basillift.KindUpload:
	default:
		add("kind", fmt.Sprintf("%q", r.Kind()), "idempotent, non-idempotent or upload")
	}
	if r.Timeout() < 0 || r.LatencyObjective() < 0 {
		add("timeout", fmt.Sprintf("%s and goal %s", r.Timeout(), r.LatencyObjective()), "times that are not negative")
	}
	if r.Attempts() < 1 {
		add("attempts", fmt.Sprint(r.Attempts()), "1 or more")
	}
	t.checkServices(r, add)
	return problems
}

func (t *Table) checkServices(r *basillift.Route, add func(field, found, allowed string)) {
	total := 0
	for _, s := range r.Services() {
		if _, found := t.services[s.Service()]; !found {
			add("service", fmt.Sprintf("%q", s.Service()), "a declared service")
		}
		if s.Weight() < 0 {
			add("weight", fmt.Sprint(s.Weight()), "0 or more")
		}
		total += s.Weight()
	}
	if total <= 0 {
		add("split", "no weight", "at least one service with a weight above 0")
	}
}
