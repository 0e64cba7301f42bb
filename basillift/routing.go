package basillift

import "time"

// RequestKind is the kind of a route's requests. It decides whether they may be retried.
type RequestKind string

// The kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent RequestKind = "non-idempotent"
	// KindUpload requests have large bodies and run at most once.
	KindUpload RequestKind = "upload"
)

// Retryable reports whether a request of this kind may run again.
func (k RequestKind) Retryable() bool { return k == KindIdempotent }

// WeightedService is one of the services among which a route splits its requests.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns a service with its weight relative to the other services of the route.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service is the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight is the share of requests, relative to the weights of the route's other services.
func (s WeightedService) Weight() int { return s.weight }

// Route is one row of the routing table: which requests it matches, to which services they go and their limits.
type Route struct {
	name             string
	host             string
	prefix           string
	kind             RequestKind
	services         []WeightedService
	timeout          time.Duration
	latencyObjective time.Duration
	priority         int
	attempts         int
}

// NewRoute returns a route without time limits, with priority 0 and one attempt.
func NewRoute(name, host, prefix string, k RequestKind, services ...WeightedService) Route {
	return Route{name: name, host: host, prefix: prefix, kind: k, services: services, attempts: 1}
}

// WithTimes sets the timeout, which is the longest time that a caller waits, and the latency objective, the time
// within which the caller wants its answer: a later answer is worth less. Zero means none.
func (r Route) WithTimes(timeout, latencyObjective time.Duration) Route {
	r.timeout, r.latencyObjective = timeout, latencyObjective
	return r
}

// WithPriority sets the rank among other routes; 0 is the highest.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithAttempts sets the number of targets to which one request may be sent.
func (r Route) WithAttempts(attempts int) Route {
	r.attempts = attempts
	return r
}

// Name identifies the route.
func (r Route) Name() string { return r.name }

// Host is the value of the Host header that the route matches.
func (r Route) Host() string { return r.host }

// Prefix is the prefix of the paths that the route matches.
func (r Route) Prefix() string { return r.prefix }

// Kind decides whether requests may be retried.
func (r Route) Kind() RequestKind { return r.kind }

// Services are the services that run the requests; a route that is not split has one.
func (r Route) Services() []WeightedService { return r.services }

// Timeout is the longest time that a caller waits; 0 for no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective is the time within which the caller wants its answer; a later answer is worth less. 0 if none is set.
func (r Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Priority is the rank among other routes; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// Attempts is the number of targets to which one request may be sent.
func (r Route) Attempts() int { return r.attempts }

// ServiceLimits are the health path, the connection limit and the cold start of a service's targets.
type ServiceLimits struct {
	name          string
	healthPath    string
	connections   int
	warmup        time.Duration
	coldPerSecond float64
}

// NewServiceLimits returns the limits of a service. connections is the maximum for each target; 0 for no limit.
func NewServiceLimits(name, healthPath string, connections int) ServiceLimits {
	return ServiceLimits{name: name, healthPath: healthPath, connections: connections}
}

// WithColdStart sets for how long a target is cold after a start, and how many requests per second it accepts from all VMs
// together while it is.
func (s ServiceLimits) WithColdStart(warmup time.Duration, requestsPerSecond float64) ServiceLimits {
	s.warmup, s.coldPerSecond = warmup, requestsPerSecond
	return s
}

// ColdStart returns the values of WithColdStart. limited is false if the targets have no cold phase, which is so if one of the
// values is 0.
func (s ServiceLimits) ColdStart() (warmup time.Duration, perSecond float64, limited bool) {
	return s.warmup, s.coldPerSecond, s.warmup > 0 && s.coldPerSecond > 0
}

// Name is the service's name.
func (s ServiceLimits) Name() string { return s.name }

// HealthPath is the path that answers 200 while a target is healthy.
func (s ServiceLimits) HealthPath() string { return s.healthPath }

// Connections is the maximum number of connections to one target from all clients together; 0 for no limit.
func (s ServiceLimits) Connections() int { return s.connections }

// ClientLimits limit the size of a caller's requests and the time that it may take to send them. A limit of 0 selects
// the daemon's default.
type ClientLimits struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewClientLimits returns limits; the sizes are in bytes.
func NewClientLimits(headerBytes, bodyBytes int, headerTimeout, idleTimeout time.Duration) ClientLimits {
	return ClientLimits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes is the maximum size of a request's header in bytes.
func (l ClientLimits) HeaderBytes() int { return l.headerBytes }

// BodyBytes is the maximum size of a request's body in bytes.
func (l ClientLimits) BodyBytes() int { return l.bodyBytes }

// HeaderTimeout limits the time from a request's first byte to the end of its header.
func (l ClientLimits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout limits the time between two requests of a connection.
func (l ClientLimits) IdleTimeout() time.Duration { return l.idleTimeout }

// RoutingSpec is a published routing table whose routes have not been checked yet.
type RoutingSpec struct {
	version  uint64
	routes   []Route
	services []ServiceLimits
	limits   ClientLimits
}

// NewRoutingSpec returns a routing table. Each published table has a higher version than the one before.
func NewRoutingSpec(version uint64, routes []Route, services []ServiceLimits, l ClientLimits) RoutingSpec {
	return RoutingSpec{version: version, routes: routes, services: services, limits: l}
}

// Version is the number of the table; a newer table has a higher one.
func (r RoutingSpec) Version() uint64 { return r.version }

// Routes are the rows of the table.
func (r RoutingSpec) Routes() []Route { return r.routes }

// Services are the declared services.
func (r RoutingSpec) Services() []ServiceLimits { return r.services }

// Limits are the limits for the requests of callers.
func (r RoutingSpec) Limits() ClientLimits { return r.limits }

// Endpoint is the registry entry of a target. It describes one run of the target.
type Endpoint struct {
	instance        string
	service         string
	address         string
	daemon          string
	domain          FailureDomain
	slots           int
	state           TargetState
	warmupRemaining time.Duration
	startedAt       time.Time
	sequence        uint64
}

// NewEndpoint returns a target's entry. instance identifies the run of the target; address is IP:port.
func NewEndpoint(instance, service, address string, domain FailureDomain, slots int, s TargetState) Endpoint {
	return Endpoint{instance: instance, service: service, address: address, domain: domain, slots: slots, state: s}
}

// WithStart sets the start time of the target and how much longer it is slow because it warms up.
func (e Endpoint) WithStart(startedAt time.Time, warmupRemaining time.Duration) Endpoint {
	e.startedAt, e.warmupRemaining = startedAt, warmupRemaining
	return e
}

// WithSequence sets the number that orders the entries of one run of the target.
func (e Endpoint) WithSequence(sequence uint64) Endpoint {
	e.sequence = sequence
	return e
}

// Sequence orders the entries of one run of the target.
func (e Endpoint) Sequence() uint64 { return e.sequence }

// OlderThan reports whether the entry was written before another entry of the same
// key: by an earlier run of the target, or earlier in the same run.
func (e Endpoint) OlderThan(o Endpoint) bool {
	if !e.startedAt.Equal(o.startedAt) {
		return e.startedAt.Before(o.startedAt)
	}
	return e.sequence < o.sequence
}

// WithDaemon sets the address (IP:port) at which the daemon beside the target takes requests.
func (e Endpoint) WithDaemon(address string) Endpoint {
	e.daemon = address
	return e
}

// Daemon is the address (IP:port) at which the daemon beside the target takes requests.
func (e Endpoint) Daemon() string { return e.daemon }

// Instance is the id of one run of the target.
func (e Endpoint) Instance() string { return e.instance }

// Service is the service that the target runs.
func (e Endpoint) Service() string { return e.service }

// Address is the target's own address (IP:port).
func (e Endpoint) Address() string { return e.address }

// Domain is the target's failure domain.
func (e Endpoint) Domain() FailureDomain { return e.domain }

// Slots is how many requests the target runs at once; 0 if the entry does not say.
func (e Endpoint) Slots() int { return e.slots }

// State is TargetReady or TargetDraining.
func (e Endpoint) State() TargetState { return e.state }

// WarmupRemaining is how much longer the target warms up and is slow, counted from when the entry was received.
func (e Endpoint) WarmupRemaining() time.Duration { return e.warmupRemaining }

// StartedAt is the start time of the target by its own clock.
func (e Endpoint) StartedAt() time.Time { return e.startedAt }
