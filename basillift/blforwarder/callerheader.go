package blforwarder

import (
	"strings"
	"time"

	"basillift.dev/basillift/blhttp"
)

// localRequest returns a copy of the request as targetSide expects it.
func (c *callerSide) localRequest(r *request) *request {
	local := *r
	local.fields = append([]field(nil), r.fields...)
	local.fields = c.replaceCaller(local.fields)
	return &local
}

// replaceCaller replaces the service name in the caller's header by that of the VM.
func (c *callerSide) replaceCaller(fields []field) []field {
	name := c.forwarder.settings.headerNames.Caller()
	kept := fields[:0]
	for _, f := range fields {
		if !strings.EqualFold(f.name, name) {
			kept = append(kept, f)
		}
	}
	return append(kept, field{name, c.forwarder.settings.service})
}

// requestHeader returns the request line and the header fields for the target's daemon.
func (c *callerSide) requestHeader(rr *routedRequest, now time.Time) []byte {
	names := c.forwarder.settings.headerNames
	b := appendRequestLine(nil, rr.request)
	b = appendFields(b, rr.request, names, names.Caller(), names.Instance())
	b = blhttp.AppendField(b, names.Caller(), c.forwarder.settings.service)
	metadata := rr.metadata
	metadata.newestRevision = c.forwarder.gossip.NewestRevision()
	// The target's daemon gives up earlier by the transfer time, so that its own answer arrives before the deadline.
	metadata.deadline = metadata.deadline.Add(-answerMargin)
	b = blhttp.AppendField(b, headerHop, metadata.format(now))
	b = metadata.appendLate(metadata.appendAnswerBy(b, now))
	if s, known := c.forwarder.quarantine.suspicion(now, rr.fingerprint); known {
		b = blhttp.AppendField(b, headerSuspicion, formatSuspicion(now, s))
	}
	return append(b, "\r\n"...)
}
