package blrpc

import (
	"encoding/json"
	"net"
	"sync/atomic"

	"basillift.dev/basillift"
)

// The methods between daemons.
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

// The causes in messages of which the method alone does not tell the purpose.
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

// purposeOf tells what a message is for. A fetch that repairs and records that carry a
// target's state say so in their cause field.
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
	var head struct {
		Cause string `json:"cause"`
	}
	if err := json.Unmarshal(*params, &head); err != nil {
		return ""
	}
	return head.Cause
}

// Counters holds the bytes that crossed the sockets, by purpose and direction. Bytes of
// the TCP and IP headers are not included; those of the JSON-RPC and zstd framing are.
type Counters struct {
	sent     [purposeCount]atomic.Uint64
	received [purposeCount]atomic.Uint64
	dropped  atomic.Uint64
}

// Sent is the number of bytes sent for a purpose.
func (c *Counters) Sent(p basillift.Purpose) uint64 { return c.sent[purposeIndex(p)].Load() }

// Received is the number of bytes received for a purpose.
func (c *Counters) Received(p basillift.Purpose) uint64 { return c.received[purposeIndex(p)].Load() }

// Dropped is the number of outgoing messages that found their ring full.
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
