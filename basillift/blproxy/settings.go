package blproxy

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// Recording says which calls are written to the timeline.
type Recording string

// The recording levels.
const (
	RecordNone    Recording = "none"
	RecordRefused Recording = "refused"
	RecordAll     Recording = "all"
)

// Settings are the limits and addresses of the request path.
type Settings struct {
	callerAddress    string
	meshAddress      string
	targetAddress    string
	timeout          time.Duration
	longestTimeout   time.Duration
	connectTimeout   time.Duration
	meshIdle         time.Duration
	targetIdle       time.Duration
	depthLimit       int
	connections      int
	bufferSize       int
	recording        Recording
	lingerAfterDrain time.Duration
	slots            int
	targetLimit      int
	queueLength      int
	domains          []basillift.FailureDomain
}

// NewSettings returns the default limits with the addresses on which callers and
// other daemons connect, and the address of the VM's own target.
func NewSettings(callerAddress, meshAddress, targetAddress string) Settings {
	return Settings{
		callerAddress:  callerAddress,
		meshAddress:    meshAddress,
		targetAddress:  targetAddress,
		timeout:        10 * time.Second,
		longestTimeout: 60 * time.Second,
		connectTimeout: time.Second,
		// Below the idle limit of the mesh side's server (90 s), so that the
		// calling daemon closes first and no request meets a closing connection.
		meshIdle: 30 * time.Second,
		// Common HTTP servers close idle connections after 5 s.
		targetIdle:  4 * time.Second,
		depthLimit:  32,
		connections: 512,
		bufferSize:  64 << 10,
		recording:   RecordRefused,
		slots:       10,
		targetLimit: 128,
		queueLength: 256,
	}
}

// WithTimeouts returns a copy with another default and longest deadline of a call.
func (s Settings) WithTimeouts(usual, longest time.Duration) Settings {
	s.timeout, s.longestTimeout = usual, longest
	return s
}

// WithConnectTimeout returns a copy with another bound for opening a connection.
func (s Settings) WithConnectTimeout(d time.Duration) Settings {
	s.connectTimeout = d
	return s
}

// WithIdle returns a copy with other times after which unused connections to daemons and to the target are closed.
func (s Settings) WithIdle(mesh, target time.Duration) Settings {
	s.meshIdle, s.targetIdle = mesh, target
	return s
}

// WithConnections returns a copy with another limit of connections to each daemon and to the target.
func (s Settings) WithConnections(n int) Settings {
	s.connections = n
	return s
}

// WithDepthLimit returns a copy with another limit of daemons in one call chain.
func (s Settings) WithDepthLimit(n int) Settings {
	s.depthLimit = n
	return s
}

// WithRecording returns a copy with another choice of recorded calls.
func (s Settings) WithRecording(r Recording) Settings {
	s.recording = r
	return s
}

// WithLinger returns a copy with another time for which Drain keeps answering
// "not-run" after the last call, for daemons that have not yet heard of the drain.
func (s Settings) WithLinger(d time.Duration) Settings {
	s.lingerAfterDrain = d
	return s
}

// WithTarget returns a copy with the calls that the target runs at once, the
// connections that it accepts, and how many calls may wait for it.
func (s Settings) WithTarget(slots, connections, queue int) Settings {
	s.slots, s.targetLimit, s.queueLength = slots, connections, queue
	return s
}

// WithDomains returns a copy with the failure domains over which plan limits are
// divided, also while no member of them is known.
func (s Settings) WithDomains(failureDomains []basillift.FailureDomain) Settings {
	s.domains = failureDomains
	return s
}

// limits bounds the connections to an address.
func (s Settings) limits(address string) blpool.Limits {
	if address == s.targetAddress {
		return blpool.NewLimits(s.targetLimit, s.targetIdle, s.connectTimeout)
	}
	return blpool.NewLimits(s.connections, s.meshIdle, s.connectTimeout)
}
