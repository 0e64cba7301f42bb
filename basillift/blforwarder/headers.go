package blforwarder

import (
	"strconv"
	"strings"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
)

// The headers between two daemons. Header fields of callers with this prefix are dropped.
const (
	headerPrefix = "Basillift-"
	// headerHop carries the metadata of a request to the target's daemon, and the outcome in the answer to the caller's
	// daemon.
	headerHop = "Basillift-Hop"
	// headerLoad carries the load report of the target.
	headerLoad = "Basillift-Load"
	// headerCold carries the limit of a cold target beside its load report: requests per second, and the remaining time in
	// microseconds. Daemons that do not know it ignore it; they would not read a load report with further values.
	headerCold = "Basillift-Cold"
	// headerPermit marks a request that only asks for a reservation for a large body. On the wire a reservation is
	// called a permit.
	headerPermit = "Basillift-Permit"
)

// connectionHeader reports whether the header field with this name concerns a single connection and is never forwarded.
func connectionHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "expect":
		return true
	}
	return false
}

// internalHeader reports whether the header field with this name is used between daemons only.
func internalHeader(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}

func formatMicroseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// formatRevision encodes a revision as one number, so that daemons that know no eras compare it in the same order.
func formatRevision(r basillift.Revision) string { return strconv.FormatUint(uint64(r), 10) }

func formatFlag(set bool) string {
	if set {
		return "1"
	}
	return "0"
}

func formatPercent(ratio float64) string { return strconv.Itoa(int(100 * ratio)) }

// metadataFieldCount is the number of fixed values in headerHop of a request. An advisory may follow.
const metadataFieldCount = 12

// format encodes the metadata for headerHop. Durations are in microseconds, and points in time are relative to now.
func (rm requestMetadata) format(now time.Time) string {
	return strings.Join([]string{
		rm.instance, rm.route, strconv.Itoa(rm.rank), formatFlag(rm.retryable), formatMicroseconds(rm.latencyObjective),
		formatMicroseconds(rm.softDeadline.Sub(now)), formatMicroseconds(rm.deadline.Sub(now)), formatRevision(rm.newestRevision),
		formatPercent(rm.servedRatio), strconv.Itoa(rm.parent.rank), formatPercent(rm.parent.servedRatio), formatPercent(rm.retryProbability),
	}, " ") + formatAdvisory(rm.advisory)
}

// parseMetadata is the inverse of format, for a request that arrived at the given time.
func parseMetadata(text string, arrived time.Time) (requestMetadata, bool) {
	fields, advisory := cutAdvisory(strings.Split(text, " "))
	if len(fields) != metadataFieldCount {
		return requestMetadata{}, false
	}
	var numbers [metadataFieldCount]int64
	for i := 2; i < metadataFieldCount; i++ {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return requestMetadata{}, false
		}
		numbers[i] = n
	}
	offset := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return requestMetadata{
		instance: fields[0], route: fields[1], rank: int(numbers[2]), retryable: numbers[3] == 1,
		latencyObjective: offset(numbers[4]), softDeadline: arrived.Add(offset(numbers[5])), deadline: arrived.Add(offset(numbers[6])),
		newestRevision: basillift.Revision(numbers[7]), servedRatio: float64(numbers[8]) / 100,
		parent:           parentRequest{rank: int(numbers[9]), servedRatio: float64(numbers[10]) / 100},
		retryProbability: float64(numbers[11]) / 100,
		advisory:         advisory,
	}, true
}

// outcomeFieldCount is the number of values in headerHop of an answer.
const outcomeFieldCount = 5

// formatOutcome encodes the outcome of a request for headerHop.
func (a *answer) formatOutcome() string {
	return string(a.outcome) + " " + string(a.reason) + " " + formatMicroseconds(a.retryAfter) + " " + formatRevision(a.newestRevision) +
		" " + formatFlag(a.nestedCall)
}

// parseOutcome is the inverse of formatOutcome. Without a valid value the outcome stays unknown.
func (a *answer) parseOutcome(text string) {
	fields := strings.Split(text, " ")
	if len(fields) != outcomeFieldCount {
		return
	}
	a.outcome, a.reason = basillift.Outcome(fields[0]), basillift.Reason(fields[1])
	if n, err := strconv.ParseInt(fields[2], 10, 64); err == nil {
		a.retryAfter = time.Duration(n) * time.Microsecond
	}
	// An unreadable revision becomes 0, which is older than any other.
	newest, _ := strconv.ParseUint(fields[3], 10, 64)
	a.newestRevision = basillift.Revision(newest)
	a.nestedCall = fields[4] == formatFlag(true)
}

// The words for an advisory, which follow the fixed values of a header.
const (
	limitPrefix = "limit="
	leavingWord = "leaving"
)

// formatAdvisory encodes an advisory as words, each with a space before it.
func formatAdvisory(a basillift.Advisory) string {
	text := ""
	if perSecond, limited := a.RequestLimit(); limited {
		text += " " + limitPrefix + strconv.FormatFloat(perSecond, 'g', -1, 64)
	}
	if a.Leaving() {
		text += " " + leavingWord
	}
	return text
}

// cutAdvisory splits the values of a header into the fixed ones and the advisory that formatAdvisory added.
func cutAdvisory(fields []string) (fixed []string, a basillift.Advisory) {
	for fixed = fields; len(fixed) > 0; fixed = fixed[:len(fixed)-1] {
		last := fixed[len(fixed)-1]
		text, isLimit := strings.CutPrefix(last, limitPrefix)
		perSecond, valid := parseRequestLimit(text)
		switch {
		case isLimit && valid:
			a = a.WithRequestLimit(perSecond)
		case last == leavingWord:
			a = a.WithLeaving()
		default:
			return fixed, a
		}
	}
	return fixed, a
}

// loadFieldCount is the number of fixed values in headerLoad. The report of a VM with a slow link has one more. An advisory
// may follow.
const loadFieldCount = 4

func formatLoad(l basillift.Load) string {
	text := strconv.Itoa(l.Running()) + " " + strconv.Itoa(l.Queued()) + " " + strconv.Itoa(l.Slots()) + " " +
		formatMicroseconds(l.MeanServiceTime())
	if backlog, slow := l.SlowLink(); slow {
		text += " " + formatMicroseconds(backlog)
	}
	return text + formatAdvisory(l.Advisory())
}

// appendColdLimit appends the field headerCold for a cold target.
func appendColdLimit(b []byte, l basillift.Load) []byte {
	perSecond, remaining, limited := l.ColdLimit()
	if !limited {
		return b
	}
	return blhttp.AppendField(b, headerCold, strconv.FormatFloat(perSecond, 'g', -1, 64)+" "+formatMicroseconds(remaining))
}

// parseColdLimit is the inverse of appendColdLimit. It returns a load without a cold limit if the text is not a valid one.
func parseColdLimit(l basillift.Load, text string) basillift.Load {
	limit, remaining, _ := strings.Cut(text, " ")
	perSecond, valid := parseRequestLimit(limit)
	microseconds, err := strconv.ParseInt(remaining, 10, 64)
	if !valid || err != nil || microseconds < 0 || microseconds > maxColdTime.Microseconds() {
		return l
	}
	return l.WithColdLimit(perSecond, time.Duration(microseconds)*time.Microsecond)
}

// parseLoad returns nil if the text is not a valid load report.
func parseLoad(text string) *basillift.Load {
	fields, advisory := cutAdvisory(strings.Fields(text))
	if len(fields) != loadFieldCount && len(fields) != loadFieldCount+1 {
		return nil
	}
	var numbers [loadFieldCount + 1]int
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	l := basillift.NewLoad(numbers[0], numbers[1], numbers[2], time.Duration(numbers[3])*time.Microsecond)
	if len(fields) > loadFieldCount {
		l = l.WithSlowLink(time.Duration(numbers[loadFieldCount]) * time.Microsecond)
	}
	l = l.WithAdvisory(advisory)
	return &l
}

// formatSeconds formats a Retry-After value in seconds. Unlike in HTTP, it may have fractions here.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
