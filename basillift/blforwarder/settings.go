package blforwarder

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

const (
	// wholeBytes is the largest body that is held in memory as a whole, so that it can be sent again and an
	// answer is known to be complete before it is passed on. Larger ones are streamed.
	wholeBytes = 512 << 10
	// pipelineDepth bounds the requests of one connection that are in progress.
	pipelineDepth = 16
	// connectTimeout bounds opening a connection to another daemon; in one region a round trip takes some
	// milliseconds, and a lost first packet is sent again only after a second.
	connectTimeout = 150 * time.Millisecond
	// silenceLimit ends connections to daemons that do not acknowledge. A lost packet is sent again after
	// 200 ms; a second chance would use up the time-outs of short routes.
	silenceLimit = 400 * time.Millisecond
	// callerSilence ends connections of callers that are gone without a word.
	callerSilence = 5 * time.Second
	// meshIdle is how long a connection to another daemon may be unused; the other side waits longer.
	meshIdle = 20 * time.Second
	// meshWait is how long the target side keeps an unused connection.
	meshWait = 40 * time.Second
	// targetIdle is how long a connection to the target may be unused, unless the target announces less.
	targetIdle = 8 * time.Second
	// meshConnections bounds the connections to one other daemon.
	meshConnections = 256
	// defaultSlots is assumed until the target's entry is known.
	defaultSlots = 4
	// defaultTimeout bounds requests without a time-out of route or caller.
	defaultTimeout = 15 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout hold until a routing table is in force.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// defaultBodyBytes bounds bodies until a routing table is in force.
	defaultBodyBytes = 64 << 20
)

// Settings are the addresses and terms of the request path.
type Settings struct {
	callers string
	mesh    string
	ready   string
	target  string
	service string
	domain  basillift.FailureDomain
	dialect basillift.HeaderNames
	ratio   float64
	fixed   int
	leaving time.Duration
	thin    bool
}

// NewSettings returns settings with the addresses on which callers, other daemons
// and readiness checks connect.
func NewSettings(callers, mesh, ready string) Settings {
	return Settings{callers: callers, mesh: mesh, ready: ready, ratio: 0.1, fixed: 10, leaving: 2 * time.Second}
}

// WithTarget sets the VM's own target: its address, service and failure domain.
func (s Settings) WithTarget(address, service string, d basillift.FailureDomain) Settings {
	s.target, s.service, s.domain = address, service, d
	return s
}

// WithHeaderNames sets the names of headers.
func (s Settings) WithHeaderNames(d basillift.HeaderNames) Settings {
	s.dialect = d
	return s
}

// WithRetryAllowance bounds the repeats of the whole mesh in a window: a ratio of the requests and a fixed number.
func (s Settings) WithRetryAllowance(ratio float64, fixed int) Settings {
	s.ratio, s.fixed = ratio, fixed
	return s
}

// WithLeaving sets how long a target may be used after it is known that it leaves.
func (s Settings) WithLeaving(d time.Duration) Settings {
	s.leaving = d
	return s
}

// WithSlowLink says that large bodies have to come over the VM's link one after the other.
func (s Settings) WithSlowLink(thin bool) Settings {
	s.thin = thin
	return s
}

// limits bounds the connections to an address.
func (s Settings) limits(address string) blpool.Limits {
	if address == s.target {
		return blpool.NewLimits(meshConnections, targetIdle, connectTimeout)
	}
	return blpool.NewLimits(meshConnections, meshIdle, connectTimeout).WithSilence(silenceLimit)
}
