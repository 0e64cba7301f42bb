package blproxy

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// Recording selects which calls are written to the timeline.
type Recording string

// The recording levels.
const (
	RecordNone    Recording = "none"
	RecordRefused Recording = "refused"
	RecordAll     Recording = "all"
)

// Settings are the limits and addresses of the request path.
type Settings struct {
	callerAddress        string
	meshAddress          string
	targetAddress        string
	timeout              time.Duration
	maxTimeout           time.Duration
	connectTimeout       time.Duration
	meshIdleTimeout      time.Duration
	targetIdleTimeout    time.Duration
	maxDepth             int
	maxConnections       int
	maxBufferedBytes     int
	recording            Recording
	drainLinger          time.Duration
	slots                int
	maxTargetConnections int
	maxQueuedCalls       int
	domains              []basillift.FailureDomain
}

// NewSettings returns the default limits with the addresses on which callers and
// other daemons connect, and the address of the VM's own target.
func NewSettings(callerAddress, meshAddress, targetAddress string) Settings {
	return Settings{
		callerAddress:  callerAddress,
		meshAddress:    meshAddress,
		targetAddress:  targetAddress,
		timeout:        10 * time.Second,
		maxTimeout:     60 * time.Second,
		connectTimeout: time.Second,
		// Shorter than the idle timeout of the mesh server (90 s), so that the calling daemon
		// closes first and no request is sent on a connection that the server is closing.
		meshIdleTimeout: 30 * time.Second,
		// Common HTTP servers close idle connections after 5 s.
		targetIdleTimeout:    4 * time.Second,
		maxDepth:             32,
		maxConnections:       512,
		maxBufferedBytes:     64 << 10,
		recording:            RecordRefused,
		slots:                10,
		maxTargetConnections: 128,
		maxQueuedCalls:       256,
	}
}

// WithTimeouts returns a copy with another default and maximum timeout of a call.
func (s Settings) WithTimeouts(standard, maximum time.Duration) Settings {
	s.timeout, s.maxTimeout = standard, maximum
	return s
}

// WithConnectTimeout returns a copy with another timeout for opening a connection.
func (s Settings) WithConnectTimeout(d time.Duration) Settings {
	s.connectTimeout = d
	return s
}

// WithIdleTimeouts returns a copy with other timeouts after which idle connections to daemons and
// to the target are closed.
func (s Settings) WithIdleTimeouts(mesh, target time.Duration) Settings {
	s.meshIdleTimeout, s.targetIdleTimeout = mesh, target
	return s
}

// WithMaxConnections returns a copy with another limit of connections to each daemon.
func (s Settings) WithMaxConnections(n int) Settings {
	s.maxConnections = n
	return s
}

// WithMaxDepth returns a copy with another limit of daemons in one call chain.
func (s Settings) WithMaxDepth(n int) Settings {
	s.maxDepth = n
	return s
}

// WithRecording returns a copy with another selection of recorded calls.
func (s Settings) WithRecording(r Recording) Settings {
	s.recording = r
	return s
}

// WithDrainLinger returns a copy with another minimum duration of Drain, during which it answers
// "not-run" to daemons that have not yet received the drain state.
func (s Settings) WithDrainLinger(d time.Duration) Settings {
	s.drainLinger = d
	return s
}

// WithTarget returns a copy with the number of calls that the target runs at once, the connections
// that it accepts, and the calls that may wait for it.
func (s Settings) WithTarget(slots, connections, queue int) Settings {
	s.slots, s.maxTargetConnections, s.maxQueuedCalls = slots, connections, queue
	return s
}

// WithDomains returns a copy with the failure domains over which plan limits are divided, even
// while no member of them is known.
func (s Settings) WithDomains(failureDomains []basillift.FailureDomain) Settings {
	s.domains = failureDomains
	return s
}

// limits returns the connection limits for an address.
func (s Settings) limits(address string) blpool.Limits {
	if address == s.targetAddress {
		return blpool.NewLimits(s.maxTargetConnections, s.targetIdleTimeout, s.connectTimeout)
	}
	return blpool.NewLimits(s.maxConnections, s.meshIdleTimeout, s.connectTimeout)
}
