package blcourier

import (
	"strconv"
	"strings"
	"time"

	"basillift.dev/basillift"
)

// The headers between two daemons. Callers cannot set them: all names with the prefix are removed.
const (
	headerPrefix   = "Basillift-"
	headerLane     = "Basillift-Lane"
	headerRank     = "Basillift-Rank"
	headerGoal     = "Basillift-Goal-Us"
	headerWhole    = "Basillift-Objective-Us"
	headerLeft     = "Basillift-Left-Us"
	headerRepeat   = "Basillift-Repeatable"
	headerInstance = "Basillift-Instance"
	headerOutcome  = "Basillift-Outcome"
	headerReason   = "Basillift-Reason"
	headerRetry    = "Basillift-Retry-Us"
	headerLoad     = "Basillift-Load"
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

func parseMicroseconds(text string) (time.Duration, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil
}

func formatLoad(l basillift.Load) string {
	return strconv.Itoa(l.Running()) + " " + strconv.Itoa(l.Queued()) + " " + strconv.Itoa(l.Slots()) + " " +
		microseconds(l.Hold())
}

// parseLoad returns nil for a text that is no load.
func parseLoad(text string) *basillift.Load {
	fields := strings.Fields(text)
	if len(fields) != 4 {
		return nil
	}
	var numbers [4]int
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	l := basillift.NewLoad(numbers[0], numbers[1], numbers[2], time.Duration(numbers[3])*time.Microsecond)
	return &l
}

// seconds formats a Retry-After value; fractions are allowed here.
func retrySeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
