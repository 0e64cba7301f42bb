package blsettings

import (
	"time"

	"basillift.dev/basillift"
)

// Trace says which calls are recorded in the timeline.
type Trace string

// The values of Trace.
const (
	TraceNone    Trace = "none"
	TraceRefused Trace = "refused"
	TraceAll     Trace = "all"
)

// Routing is how the daemon decides where calls go.
type Routing string

// The values of Routing.
const (
	// RoutingPlans routes by the platform's lists of customers and plans.
	RoutingPlans Routing = "plans"
	// RoutingTable routes by the routing table that the platform's registry publishes.
	RoutingTable Routing = "table"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	name              basillift.VMID
	place             basillift.Place
	service           string
	caller            string
	addresses         basillift.Addresses
	target            string
	platform          string
	seeds             []string
	domains           []basillift.FailureDomain
	slots             int
	connections       int
	maxQueued         int
	timeout           time.Duration
	maxTimeout        time.Duration
	drainTimeout      time.Duration
	trace             Trace
	level             string
	notify            string
	routing           Routing
	readyAddress      string
	leavingPeriod     time.Duration
	gracePeriod       time.Duration
	retryShare        float64
	retryAllowance    int
	linkMbitPerSecond float64
	memoryMB          int
	descriptors       int
}

// Name is the name of the VM, unique in the mesh.
func (s Settings) Name() basillift.VMID { return s.name }

// Place is the VM's failure domain and region.
func (s Settings) Place() basillift.Place { return s.place }

// Service is the service that the VM's target runs.
func (s Settings) Service() string { return s.service }

// Caller is the address (IP:port) for calls from the VM's own programs and from clients.
func (s Settings) Caller() string { return s.caller }

// Addresses are the addresses (IP:port) at which other daemons and operators reach this daemon.
func (s Settings) Addresses() basillift.Addresses { return s.addresses }

// Target is the address (IP:port) of the VM's target.
func (s Settings) Target() string { return s.target }

// Platform is the URL of the platform, http or https, without a trailing slash.
func (s Settings) Platform() string { return s.platform }

// Seeds are control addresses (IP:port) of other daemons for the first contact; without any, the platform's VM list is
// used.
func (s Settings) Seeds() []string { return s.seeds }

// Domains are the failure domains of the mesh that are known in advance.
func (s Settings) Domains() []basillift.FailureDomain { return s.domains }

// Slots is how many calls the target runs at once.
func (s Settings) Slots() int { return s.slots }

// Connections is how many connections the target accepts at once.
func (s Settings) Connections() int { return s.connections }

// MaxQueued is the maximum number of calls that wait for a slot.
func (s Settings) MaxQueued() int { return s.maxQueued }

// Timeout is the timeout of a call that does not set one.
func (s Settings) Timeout() time.Duration { return s.timeout }

// MaxTimeout is the longest timeout that a caller may set.
func (s Settings) MaxTimeout() time.Duration { return s.maxTimeout }

// DrainTimeout is how long a graceful shutdown waits for calls in flight.
func (s Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// Trace says which calls are recorded in the timeline.
func (s Settings) Trace() Trace { return s.trace }

// Level is the lowest level that is logged: debug, info, warn or error.
func (s Settings) Level() string { return s.level }

// Notify is the URL that receives notices by HTTP POST; if it is empty, none are sent.
func (s Settings) Notify() string { return s.notify }

// Routing is RoutingPlans or RoutingTable.
func (s Settings) Routing() Routing { return s.routing }

// ReadyAddress is the address (IP:port) that answers readiness checks; empty for none, which RoutingTable does not
// allow.
func (s Settings) ReadyAddress() string { return s.readyAddress }

// LeavingPeriod is how long a target may still be used after the registry knows that it is leaving.
func (s Settings) LeavingPeriod() time.Duration { return s.leavingPeriod }

// GracePeriod is the time between SIGTERM and the kill of the daemon.
func (s Settings) GracePeriod() time.Duration { return s.gracePeriod }

// RetryShare is the maximum share of the requests for a service that all daemons together retry.
func (s Settings) RetryShare() float64 { return s.retryShare }

// RetryAllowance is how many requests all daemons together may retry beyond RetryShare in a window of 10 s.
func (s Settings) RetryAllowance() int { return s.retryAllowance }

// LinkMbitPerSecond is the speed of the VM's link in Mbit/s; 0 if it is fast or not known.
func (s Settings) LinkMbitPerSecond() float64 { return s.linkMbitPerSecond }

// MemoryMB is how much memory in MB the process may use; 0 if it is not known.
func (s Settings) MemoryMB() int { return s.memoryMB }

// Descriptors is how many file descriptors the process may use; 0 if it is not known.
func (s Settings) Descriptors() int { return s.descriptors }

// Member returns the daemon's first member record. Its incarnation is the given time in Unix milliseconds.
func (s Settings) Member(now time.Time) basillift.Member {
	return basillift.NewMember(s.name, uint64(now.UnixMilli()), s.addresses, s.place, s.service, s.slots)
}
