package blrpc

import (
	"encoding/json"
	"net"
	"sync/atomic"

	"basillift.dev/basillift"
)

// Names of the methods on the wire.
const (
	MethodHello     = "hello"
	MethodProbe     = "probe"
	MethodIndirect  = "indirect"
	MethodPush      = "push"
	MethodAnnounce  = "announce"
	MethodFetch     = "fetch"
	MethodRecords   = "records"
	MethodExchange  = "exchange"
	MethodClaim     = "claim"
	MethodSettle    = "settle"
	MethodSuspicion = "suspicion"
	MethodQuota     = "quota"
)

// Values of the cause field, in messages whose purpose does not follow from the method alone.
const (
	CauseRepair = "repair"
	CauseTarget = "target"
)

const purposeCount = 4

func purposeIndex(p basillift.Purpose) int {
	switch p {
	case basillift.PurposeConfiguration:
		return 0
	case basillift.PurposeMembership:
		return 1
	case basillift.PurposeTarget:
		return 2
	default:
		return 3
	}
}

// purposeOf returns the purpose of a message. The cause field marks a fetch that repairs a
// missed version, and records that carry a changed target state.
func purposeOf(method string, params *json.RawMessage) basillift.Purpose {
	switch method {
	case MethodPush, MethodAnnounce:
		return basillift.PurposeConfiguration
	case MethodFetch:
		if causeOf(params) == CauseRepair {
			return basillift.PurposeRepair
		}
		return basillift.PurposeConfiguration
	case MethodRecords:
		if causeOf(params) == CauseTarget {
			return basillift.PurposeTarget
		}
		return basillift.PurposeMembership
	case MethodExchange:
		return basillift.PurposeRepair
	case MethodHello, MethodProbe, MethodIndirect:
		return basillift.PurposeMembership
	default:
		return basillift.PurposeTarget
	}
}

func causeOf(params *json.RawMessage) string {
	if params == nil {
		return ""
	}
	var message struct {
		Cause string `json:"cause"`
	}
	if err := json.Unmarshal(*params, &message); err != nil {
		return ""
	}
	return message.Cause
}

// Counters counts the bytes sent and received on the sockets, by purpose. The counts include
// the JSON-RPC and zstd framing, but not the TCP and IP headers. Counters is safe for
// concurrent use.
type Counters struct {
	sent     [purposeCount]atomic.Uint64
	received [purposeCount]atomic.Uint64
	dropped  atomic.Uint64
}

// Sent returns the number of bytes sent for a purpose.
func (c *Counters) Sent(p basillift.Purpose) uint64 { return c.sent[purposeIndex(p)].Load() }

// Received returns the number of bytes received for a purpose.
func (c *Counters) Received(p basillift.Purpose) uint64 { return c.received[purposeIndex(p)].Load() }

// Dropped returns the number of notifications that were dropped because the queue of the peer
// was full or sending failed.
func (c *Counters) Dropped() uint64 { return c.dropped.Load() }

// countingConn counts the bytes written to a socket.
type countingConn struct {
	net.Conn
	written uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += uint64(n)
	return n, err //nolint:wrapcheck // a transparent layer below the stream, which wraps
}
