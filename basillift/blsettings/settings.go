package blsettings

import (
	"time"

	"basillift.dev/basillift"
)

// Trace says which calls are recorded in the timeline.
type Trace string

// The choices of Trace.
const (
	TraceNone    Trace = "none"
	TraceRefused Trace = "refused"
	TraceAll     Trace = "all"
)

// Routing says what decides where calls go.
type Routing string

// The choices of Routing.
const (
	RoutingPlans Routing = "plans"
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
	ready             string
	leavingPeriod     time.Duration
	gracePeriod       time.Duration
	retryShare        float64
	retryAllowance    int
	linkMbitPerSecond float64
}

// Name is the VM's name.
func (s Settings) Name() basillift.VMID { return s.name }

// Place is the VM's failure domain and region.
func (s Settings) Place() basillift.Place { return s.place }

// Service is the service that the VM's target runs.
func (s Settings) Service() string { return s.service }

// Caller is the address for calls from the VM's own programs and from clients.
func (s Settings) Caller() string { return s.caller }

// Addresses are where other daemons and operators reach this one.
func (s Settings) Addresses() basillift.Addresses { return s.addresses }

// Target is the address of the VM's target.
func (s Settings) Target() string { return s.target }

// Platform is the platform's URL.
func (s Settings) Platform() string { return s.platform }

// Seeds are control addresses of other daemons for the first contact.
func (s Settings) Seeds() []string { return s.seeds }

// Domains are the failure domains of the mesh that are known in advance.
func (s Settings) Domains() []basillift.FailureDomain { return s.domains }

// Slots is how many calls the target runs at once.
func (s Settings) Slots() int { return s.slots }

// Connections is how many connections the target accepts at once.
func (s Settings) Connections() int { return s.connections }

// MaxQueued is how many calls wait for a slot at most.
func (s Settings) MaxQueued() int { return s.maxQueued }

// Timeout is the deadline of a call that brings none.
func (s Settings) Timeout() time.Duration { return s.timeout }

// MaxTimeout is the longest deadline that a caller may ask for.
func (s Settings) MaxTimeout() time.Duration { return s.maxTimeout }

// DrainTimeout is how long a stop waits for calls in flight.
func (s Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// Trace says which calls are recorded.
func (s Settings) Trace() Trace { return s.trace }

// Level is the lowest level that is logged.
func (s Settings) Level() string { return s.level }

// Notify is the URL that receives notices; empty sends none.
func (s Settings) Notify() string { return s.notify }

// Routing says what decides where calls go.
func (s Settings) Routing() Routing { return s.routing }

// Ready is the address that answers readiness checks; empty for none.
func (s Settings) Ready() string { return s.ready }

// LeavingPeriod is how long a target may be used after the registry knows that it leaves.
func (s Settings) LeavingPeriod() time.Duration { return s.leavingPeriod }

// GracePeriod is how long after SIGTERM the daemon is killed.
func (s Settings) GracePeriod() time.Duration { return s.gracePeriod }

// RetryShare is the share of requests that all daemons together may retry.
func (s Settings) RetryShare() float64 { return s.retryShare }

// RetryAllowance is how many requests all daemons together may retry beyond that share in a window.
func (s Settings) RetryAllowance() int { return s.retryAllowance }

// LinkMbitPerSecond is the speed of the VM's link in Mbit/s; 0 if it is fast or not known.
func (s Settings) LinkMbitPerSecond() float64 { return s.linkMbitPerSecond }

// Member returns the daemon's first member record.
func (s Settings) Member(now time.Time) basillift.Member {
	return basillift.NewMember(s.name, uint64(now.UnixMilli()), s.addresses, s.place, s.service, s.slots)
}
