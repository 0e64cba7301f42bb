package blforwarder

import (
	"strconv"
	"strings"
	"time"

	"basillift.dev/basillift"
)

// The headers between two daemons. Callers cannot set them: all names with the prefix are removed.
const (
	headerPrefix = "Basillift-"
	// headerHop describes a request to the target side, and its outcome to the caller side.
	headerHop = "Basillift-Hop"
	// headerLoad tells the target's load.
	headerLoad = "Basillift-Load"
	// headerPermit marks a request that only asks whether a large body may come.
	headerPermit = "Basillift-Permit"
)

// connectionHeaders concern one connection only and are never passed on.
func connectionHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "expect":
		return true
	}
	return false
}

func internalHeader(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}

func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func flag(set bool) string {
	if set {
		return "1"
	}
	return "0"
}

func percent(share float64) string { return strconv.Itoa(int(100 * share)) }

// hopFields is the number of values in a hop header of a request.
const hopFields = 12

// format writes what the target side has to know; times are relative to now.
func (h hop) format(now time.Time) string {
	return strings.Join([]string{
		h.instance, h.lane, strconv.Itoa(h.rank), flag(h.repeatable), microseconds(h.objective),
		microseconds(h.goal.Sub(now)), microseconds(h.deadline.Sub(now)), strconv.FormatUint(h.seen, 10),
		percent(h.served), strconv.Itoa(h.parent.rank), percent(h.parent.served), percent(h.repeat),
	}, " ")
}

// parseHop reads what format wrote, for a request that arrived at the given time.
func parseHop(text string, arrived time.Time) (hop, bool) {
	fields := strings.Split(text, " ")
	if len(fields) != hopFields {
		return hop{}, false
	}
	var numbers [hopFields]int64
	for i := 2; i < hopFields; i++ {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return hop{}, false
		}
		numbers[i] = n
	}
	after := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return hop{
		instance: fields[0], lane: fields[1], rank: int(numbers[2]), repeatable: numbers[3] == 1,
		objective: after(numbers[4]), goal: arrived.Add(after(numbers[5])), deadline: arrived.Add(after(numbers[6])),
		seen: uint64(numbers[7]), served: float64(numbers[8]) / 100,
		parent: parent{rank: int(numbers[9]), served: float64(numbers[10]) / 100},
		repeat: float64(numbers[11]) / 100,
	}, true
}

// outcomeFields is the number of values in a hop header of an answer.
const outcomeFields = 5

// formatOutcome writes how a request ended.
func (a *answer) formatOutcome() string {
	return string(a.outcome) + " " + string(a.reason) + " " + microseconds(a.retryAfter) + " " + strconv.FormatUint(a.seen, 10) +
		" " + flag(a.nested)
}

// parseOutcome reads what formatOutcome wrote. An answer without it says nothing, so that its outcome is unknown.
func (a *answer) parseOutcome(text string) {
	fields := strings.Split(text, " ")
	if len(fields) != outcomeFields {
		return
	}
	a.outcome, a.reason = basillift.Outcome(fields[0]), basillift.Reason(fields[1])
	if n, err := strconv.ParseInt(fields[2], 10, 64); err == nil {
		a.retryAfter = time.Duration(n) * time.Microsecond
	}
	// A number that cannot be read is no news.
	a.seen, _ = strconv.ParseUint(fields[3], 10, 64)
	a.nested = fields[4] == flag(true)
}

// loadFields is the number of values in a load header; that of a VM with a thin link has one more.
const loadFields = 4

func formatLoad(l basillift.Load) string {
	text := strconv.Itoa(l.Running()) + " " + strconv.Itoa(l.Queued()) + " " + strconv.Itoa(l.Slots()) + " " +
		microseconds(l.MeanServiceTime())
	if backlog, thin := l.SlowLink(); thin {
		text += " " + microseconds(backlog)
	}
	return text
}

// parseLoad returns nil for a text that is no load.
func parseLoad(text string) *basillift.Load {
	fields := strings.Fields(text)
	if len(fields) != loadFields && len(fields) != loadFields+1 {
		return nil
	}
	var numbers [loadFields + 1]int
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	l := basillift.NewLoad(numbers[0], numbers[1], numbers[2], time.Duration(numbers[3])*time.Microsecond)
	if len(fields) > loadFields {
		l = l.WithSlowLink(time.Duration(numbers[loadFields]) * time.Microsecond)
	}
	return &l
}

// seconds formats a Retry-After value; fractions are allowed here.
func retrySeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
