package blforwarder

import (
	"strconv"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
)

// headerLate marks a request that may get a late place, and headerAdmission carries the admissionNote of an answer. Both are
// header fields of their own, since older daemons accept no more values in headerHop; they ignore these fields.
const (
	headerLate      = "Basillift-Late"
	headerAdmission = "Basillift-Admission"
)

// admissionNote says what overload did to a request at a target's daemon, for metrics and the log; empty for nothing.
type admissionNote string

const (
	// admissionLate is the note of a request that ran from a late place.
	admissionLate admissionNote = "late"
	// admissionDisplaced is that of a request that was refused while it waited, since others had taken its place.
	admissionDisplaced admissionNote = "displaced"
	// admissionNoTime is that of a request that was refused because it could not be served in time.
	admissionNoTime admissionNote = "no-time"
)

// parseAdmissionNote returns no note for an unknown text.
func parseAdmissionNote(text string) admissionNote {
	switch n := admissionNote(text); n {
	case admissionLate, admissionDisplaced, admissionNoTime:
		return n
	default:
		return ""
	}
}

// overloadRefusal refuses a request for overload.
func overloadRefusal(note admissionNote, retryAfter time.Duration) *answer {
	a := notRunAnswer(basillift.ReasonOverload, retryAfter)
	a.admission = note
	return a
}

// appendLate appends the header field that allows a late place, if the request asks for one.
func (rm requestMetadata) appendLate(b []byte) []byte {
	if !rm.lateAllowed {
		return b
	}
	return blhttp.AppendField(b, headerLate, formatFlag(true))
}

// countAdmission counts a request with a note by its rank. Nested calls, whose rank is that of their parents, count apart.
func (c *counters) countAdmission(note admissionNote, meta requestMetadata) {
	if note == "" {
		return
	}
	rank := strconv.Itoa(meta.rank)
	if meta.nestedCall {
		rank = "call"
	}
	c.set.GetOrCreateCounter(`basillift_admissions_total{admission="` + string(note) + `",rank="` + rank + `"}`).Inc()
}
