package blforwarder

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blpool"
)

const (
	// maxBufferedBytes is the largest body that is held in memory completely, so that the request can be sent again
	// and an answer is forwarded only after it has arrived completely. Larger bodies are streamed.
	maxBufferedBytes = 512 << 10
	// pipelineDepth bounds the pending requests of one connection.
	pipelineDepth = 16
	// connectTimeout bounds opening a connection to another daemon. A round trip within a region takes a few
	// milliseconds, and a lost SYN packet is retransmitted only after a second.
	connectTimeout = 150 * time.Millisecond
	// daemonTCPUserTimeout closes connections to daemons that acknowledge nothing. A lost packet is retransmitted after
	// 200 ms; waiting for a second retransmission would exceed the timeouts of short routes.
	daemonTCPUserTimeout = 400 * time.Millisecond
	// serverTCPUserTimeout closes connections of callers and other daemons that disappeared without closing them.
	serverTCPUserTimeout = 5 * time.Second
	// meshIdleTimeout closes unused connections to other daemons. It is shorter than meshServerIdleTimeout, so that
	// the side that sends requests closes first.
	meshIdleTimeout = 20 * time.Second
	// meshServerIdleTimeout closes connections that other daemons leave unused.
	meshServerIdleTimeout = 40 * time.Second
	// targetIdleTimeout closes unused connections to the target, unless the target announces a shorter time.
	targetIdleTimeout = 8 * time.Second
	// maxConnectionsPerAddress bounds the connections to a daemon or to the target.
	maxConnectionsPerAddress = 256
	// defaultSlots is used until the registry entry of the target is known, and bounds the slots until it is known whether the
	// target limits its requests. A target with a limit of almost 0 bears that many at once.
	defaultSlots = 4
	// defaultTimeout bounds requests if neither the route nor the caller sets a timeout.
	defaultTimeout = 15 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout apply until a routing table is in force.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// defaultMaxBodyBytes bounds bodies until a routing table is in force.
	defaultMaxBodyBytes = 64 << 20
)

// Settings are the addresses and limits of a Forwarder.
type Settings struct {
	callerAddress string
	meshAddress   string
	readyAddress  string
	targetAddress string
	service       string
	domain        basillift.FailureDomain
	headerNames   basillift.HeaderNames
	retryRatio    float64
	fixedRetries  int
	drainPeriod   time.Duration
	slowLink      bool
	// maxRefusalMargin bounds how long before its deadline a request that has not been sent to the target is refused.
	maxRefusalMargin time.Duration
	limits           blbudget.Limits
}

// NewSettings returns settings with the addresses on which callers, other daemons and readiness checks connect. By
// default retries are limited to 0.1 of the requests plus 10, and a leaving target may be used for 2 s.
func NewSettings(callerAddress, meshAddress, readyAddress string) Settings {
	return Settings{callerAddress: callerAddress, meshAddress: meshAddress, readyAddress: readyAddress, retryRatio: 0.1, fixedRetries: 10, drainPeriod: 2 * time.Second, maxRefusalMargin: defaultMaxRefusalMargin, limits: blbudget.NewLimits(0, 0)}
}

// WithTarget sets the VM's own target: its address, service and failure domain.
func (s Settings) WithTarget(address, service string, domain basillift.FailureDomain) Settings {
	s.targetAddress, s.service, s.domain = address, service, domain
	return s
}

// WithHeaderNames sets the names of the headers to and from callers and targets, and the path of readiness checks.
func (s Settings) WithHeaderNames(names basillift.HeaderNames) Settings {
	s.headerNames = names
	return s
}

// WithRetryAllowance limits the retries of the whole mesh in a window to a ratio of the requests plus a fixed number.
func (s Settings) WithRetryAllowance(retryRatio float64, fixedRetries int) Settings {
	s.retryRatio, s.fixedRetries = retryRatio, fixedRetries
	return s
}

// WithDrainPeriod sets how long a target may be used after it is known that it is leaving.
func (s Settings) WithDrainPeriod(period time.Duration) Settings {
	s.drainPeriod = period
	return s
}

// WithSlowLink sets whether large bodies must cross the VM's link one at a time.
func (s Settings) WithSlowLink(slowLink bool) Settings {
	s.slowLink = slowLink
	return s
}

// WithLimits sets how much memory and how many connections may be used.
func (s Settings) WithLimits(l blbudget.Limits) Settings {
	s.limits = l
	return s
}

// poolLimits returns the limits of the connections to an address.
func (s Settings) poolLimits(address string, gate blpool.Gate) blpool.Limits {
	if address == s.targetAddress {
		return blpool.NewLimits(maxConnectionsPerAddress, targetIdleTimeout, connectTimeout).WithGate(gate)
	}
	return blpool.NewLimits(maxConnectionsPerAddress, meshIdleTimeout, connectTimeout).WithTCPUserTimeout(daemonTCPUserTimeout).WithGate(gate)
}
