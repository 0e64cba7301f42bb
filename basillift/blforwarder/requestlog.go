package blforwarder

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blretry"
)

const (
	// lineInterval and lineBurst are the refill interval and the size of the token bucket that limits log lines about
	// requests. 20 lines per second take less than a hundredth of the CPU of a small daemon.
	lineInterval = 50 * time.Millisecond
	lineBurst    = 40
)

// attemptRecord describes one attempt of a request in the log.
type attemptRecord struct {
	instance  string
	result    blretry.AttemptResult
	reason    basillift.Reason
	duration  time.Duration
	reportAge time.Duration
}

// requestLog writes one log line for each request that was not answered in time at the first attempt, and counts the
// lines that it omits to limit the rate.
type requestLog struct {
	log        *bllog.Logger
	mutex      sync.Mutex
	tokens     float64
	refilledAt time.Time
	omitted    int
}

func newRequestLog(log *bllog.Logger) *requestLog { return &requestLog{log: log, tokens: lineBurst} }

// allowLine takes a token for a line. It returns the number of lines omitted since the last one.
func (rl *requestLog) allowLine(now time.Time) (omitted int, ok bool) {
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	if !rl.refilledAt.IsZero() {
		rl.tokens = min(lineBurst, rl.tokens+float64(now.Sub(rl.refilledAt))/float64(lineInterval))
	}
	rl.refilledAt = now
	if rl.tokens < 1 {
		rl.omitted++
		return 0, false
	}
	rl.tokens--
	omitted, rl.omitted = rl.omitted, 0
	return omitted, true
}

// startLine starts a log line about the end of a request. It returns false if the line is omitted.
func (rl *requestLog) startLine(now time.Time, id string, a *answer) (*zerolog.Event, bool) {
	line, ok := rl.newLine(now, bllog.RequestEnded())
	if !ok {
		return nil, false
	}
	return line.Str("id", id).Int("status", a.status).Str("outcome", string(a.outcome)).Str("reason", string(a.reason)), true
}

// newLine starts a log line about a request. It returns false if the line is omitted.
func (rl *requestLog) newLine(now time.Time, e bllog.Entry) (*zerolog.Event, bool) {
	if rl.log == nil {
		return nil, false
	}
	omitted, ok := rl.allowLine(now)
	if !ok {
		return nil, false
	}
	if omitted > 0 {
		rl.log.Event(bllog.LinesOmitted()).Int("count", omitted).Send()
	}
	return rl.log.Event(e), true
}

// logUnrouted logs a request that was answered without an attempt.
func (rl *requestLog) logUnrouted(now time.Time, id string, r *request, a *answer) {
	if line, ok := rl.startLine(now, id, a); ok {
		line.Str("host", r.host).Str("uri", r.uri).Dur("took", now.Sub(r.arrived)).Send()
	}
}

// logEnded logs a request with its final answer, unless the first attempt succeeded before the soft deadline.
func (rl *requestLog) logEnded(now time.Time, id string, table uint64, rr *routedRequest, a *answer) {
	if a.outcome == basillift.OutcomeDone && a.status < 500 && len(rr.attempts) == 1 && !now.After(rr.metadata.softDeadline) {
		return
	}
	line, ok := rl.startLine(now, id, a)
	if !ok {
		return
	}
	line.Str("route", rr.route.Name()).Str("to", rr.service).Uint64("table", table).
		Dur("took", now.Sub(rr.request.arrived)).Dur("goal", rr.metadata.latencyObjective).Dur("limit", rr.metadata.deadline.Sub(rr.request.arrived)).
		Str("attempts", formatAttempts(rr.attempts))
	if rr.admission != "" {
		line.Str("admission", string(rr.admission))
	}
	line.Send()
}

// logInvalidAnswer logs an answer that is malformed or ended early. from is the address of the target or the daemon that sent it.
func (rl *requestLog) logInvalidAnswer(now time.Time, id, from string, err error) {
	if line, ok := rl.newLine(now, bllog.AnswerInvalid()); ok {
		line.Str("id", id).Str("from", from).Err(err).Send()
	}
}

// formatAttempts writes "instance result/reason duration@age" for each attempt. The age is that of the load report by
// which the target was chosen.
func formatAttempts(attempts []attemptRecord) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(a.instance + " " + string(a.result))
		if a.reason != basillift.ReasonNone {
			b.WriteString("/" + string(a.reason))
		}
		b.WriteString(" " + strconv.FormatInt(a.duration.Milliseconds(), 10) + "ms")
		if a.reportAge > 0 {
			b.WriteString("@" + strconv.FormatInt(a.reportAge.Milliseconds(), 10) + "ms")
		}
	}
	return b.String()
}
