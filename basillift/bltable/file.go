package bltable

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"basillift.dev/basillift"
)

// errNotTable means that data cannot be decoded as a routing table.
var errNotTable = eris.New("not a routing table")

// File is the routing table in the form that operators edit: JSON with comments. Durations are strings with the unit
// ms or s, such as 800ms.
type File struct {
	Version  uint64        `json:"version"`
	Services []FileService `json:"services"`
	Routes   []FileRoute   `json:"routes"`
	Limits   FileLimits    `json:"limits"`
}

// FileService is a service with the health path, the connection limit and the cold start of its targets.
type FileService struct {
	Name        string `json:"name"`
	Health      string `json:"health,omitempty"`
	Connections int    `json:"connections,omitempty"`
	// Warmup is for how long a target is cold after a start.
	Warmup string `json:"warmup,omitempty"`
	// ColdPerSecond is how many requests per second a cold target accepts.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// FileRoute is a route. To has one entry unless the route is split.
type FileRoute struct {
	Name             string                `json:"name"`
	Host             string                `json:"host"`
	Prefix           string                `json:"prefix"`
	Kind             string                `json:"kind"`
	To               []FileWeightedService `json:"to"`
	Timeout          string                `json:"timeout,omitempty"`
	LatencyObjective string                `json:"goal,omitempty"`
	Priority         int                   `json:"priority,omitempty"`
	Attempts         int                   `json:"attempts"`
}

// FileWeightedService is a service and its weight in a split route.
type FileWeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// FileLimits are the limits for requests of callers: sizes in bytes and timeouts.
type FileLimits struct {
	Header        int    `json:"header,omitempty"`
	Body          int    `json:"body,omitempty"`
	HeaderTimeout string `json:"headerTimeout,omitempty"`
	IdleTimeout   string `json:"idleTimeout,omitempty"`
}

// Parse reads a routing table from JSON with comments. It rejects unknown fields. Errors wrap basillift.ErrRefused.
func Parse(data []byte) (basillift.RoutingSpec, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("parse table: %w", errors.Join(basillift.ErrRefused, err))
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var f File
	if err = decoder.Decode(&f); err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("decode table: %w", errors.Join(basillift.ErrRefused, errNotTable, err))
	}
	return f.routing()
}

func (f File) routing() (basillift.RoutingSpec, error) {
	routes := make([]basillift.Route, 0, len(f.Routes))
	for _, r := range f.Routes {
		route, err := r.route()
		if err != nil {
			return basillift.RoutingSpec{}, err
		}
		routes = append(routes, route)
	}
	services := make([]basillift.ServiceLimits, 0, len(f.Services))
	for _, s := range f.Services {
		warmup, err := parseDuration("warmup", s.Warmup)
		if err != nil {
			return basillift.RoutingSpec{}, fmt.Errorf("service %q: %w", s.Name, err)
		}
		services = append(services, basillift.NewServiceLimits(s.Name, s.Health, s.Connections).WithColdStart(warmup, s.ColdPerSecond))
	}
	headerTimeout, errHeader := parseDuration("headerTimeout", f.Limits.HeaderTimeout)
	idleTimeout, errIdle := parseDuration("idleTimeout", f.Limits.IdleTimeout)
	if err := errors.Join(errHeader, errIdle); err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("limits: %w", err)
	}
	return basillift.NewRoutingSpec(f.Version, routes, services,
		basillift.NewClientLimits(f.Limits.Header, f.Limits.Body, headerTimeout, idleTimeout)), nil
}

func (r FileRoute) route() (basillift.Route, error) {
	timeout, errTimeout := parseDuration("timeout", r.Timeout)
	objective, errObjective := parseDuration("goal", r.LatencyObjective)
	if err := errors.Join(errTimeout, errObjective); err != nil {
		return basillift.Route{}, fmt.Errorf("route %q: %w", r.Name, err)
	}
	services := make([]basillift.WeightedService, 0, len(r.To))
	for _, s := range r.To {
		services = append(services, basillift.NewWeightedService(s.Service, s.Weight))
	}
	return basillift.NewRoute(r.Name, r.Host, r.Prefix, basillift.RequestKind(r.Kind), services...).
		WithTimes(timeout, objective).WithPriority(r.Priority).WithAttempts(r.Attempts), nil
}

func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("field %s: found %q, allowed is a time such as 800ms: %w", field, text, basillift.ErrRefused)
	}
	return d, nil
}

// Format encodes a table as indented JSON that Parse can read.
func Format(r basillift.RoutingSpec) ([]byte, error) {
	f := newFile(r)
	for _, each := range r.Routes() {
		f.Routes = append(f.Routes, newFileRoute(each))
	}
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode table: %w", err)
	}
	return data, nil
}

// newFile returns the file form of a table, without its routes.
func newFile(r basillift.RoutingSpec) File {
	f := File{Version: r.Version(), Limits: FileLimits{
		Header: r.Limits().HeaderBytes(), Body: r.Limits().BodyBytes(),
		HeaderTimeout: formatDuration(r.Limits().HeaderTimeout()), IdleTimeout: formatDuration(r.Limits().IdleTimeout()),
	}}
	for _, s := range r.Services() {
		warmup, perSecond, _ := s.ColdStart()
		f.Services = append(f.Services, FileService{
			Name: s.Name(), Health: s.HealthPath(), Connections: s.Connections(), Warmup: formatDuration(warmup), ColdPerSecond: perSecond,
		})
	}
	return f
}

func newFileRoute(r basillift.Route) FileRoute {
	f := FileRoute{
		Name: r.Name(), Host: r.Host(), Prefix: r.Prefix(), Kind: string(r.Kind()), Priority: r.Priority(),
		Attempts: r.Attempts(), Timeout: formatDuration(r.Timeout()), LatencyObjective: formatDuration(r.LatencyObjective()),
	}
	for _, s := range r.Services() {
		f.To = append(f.To, FileWeightedService{Service: s.Service(), Weight: s.Weight()})
	}
	return f
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
