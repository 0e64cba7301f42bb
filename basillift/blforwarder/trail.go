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
	// linesEvery and linesBurst bound the log lines about requests: 20 a second cost a small daemon less than
	// a hundredth of its processor.
	linesEvery = 50 * time.Millisecond
	linesBurst = 40
)

// step is one attempt of a request, for the log.
type step struct {
	instance string
	ending   blretry.AttemptResult
	reason   basillift.Reason
	took     time.Duration
	news     time.Duration
}

// trail writes one log line for each request that did not simply succeed, and
// counts the lines that it leaves out.
type trail struct {
	log     *bllog.Logger
	mutex   sync.Mutex
	tokens  float64
	filled  time.Time
	omitted int
}

func newTrail(log *bllog.Logger) *trail { return &trail{log: log, tokens: linesBurst} }

// admit takes a line, and returns how many were left out before it.
func (t *trail) admit(now time.Time) (omitted int, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.filled.IsZero() {
		t.tokens = min(linesBurst, t.tokens+float64(now.Sub(t.filled))/float64(linesEvery))
	}
	t.filled = now
	if t.tokens < 1 {
		t.omitted++
		return 0, false
	}
	t.tokens--
	omitted, t.omitted = t.omitted, 0
	return omitted, true
}

// line starts a line about a request, unless it is left out.
func (t *trail) line(now time.Time, id string, a *answer) (*zerolog.Event, bool) {
	if t.log == nil {
		return nil, false
	}
	omitted, ok := t.admit(now)
	if !ok {
		return nil, false
	}
	if omitted > 0 {
		t.log.Event(bllog.LinesLeftOut()).Int("count", omitted).Send()
	}
	return t.log.Event(bllog.RequestEnded()).Str("id", id).
		Int("status", a.status).Str("outcome", string(a.outcome)).Str("reason", string(a.reason)), true
}

// turnedAway writes the line of a request that did not get as far as a target.
func (t *trail) turnedAway(now time.Time, id string, r *request, a *answer) {
	if line, ok := t.line(now, id, a); ok {
		line.Str("host", r.host).Str("uri", r.uri).Dur("took", now.Sub(r.arrived)).Send()
	}
}

// ended writes the line of a request that has its final answer.
func (t *trail) ended(now time.Time, id string, table uint64, j *journey, a *answer) {
	if a.outcome == basillift.OutcomeDone && a.status < 500 && len(j.steps) == 1 && !now.After(j.hop.goal) {
		return
	}
	line, ok := t.line(now, id, a)
	if !ok {
		return
	}
	line.Str("route", j.route.Name()).Str("to", j.service).Uint64("table", table).
		Dur("took", now.Sub(j.request.arrived)).Dur("goal", j.hop.objective).Dur("limit", j.hop.deadline.Sub(j.request.arrived)).
		Str("attempts", formatSteps(j.steps)).Send()
}

// formatSteps writes "instance ending/reason took@age" for each attempt; the age is that of the load report
// by which the target was chosen.
func formatSteps(steps []step) string {
	var b strings.Builder
	for i, s := range steps {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(s.instance + " " + string(s.ending))
		if s.reason != basillift.ReasonNone {
			b.WriteString("/" + string(s.reason))
		}
		b.WriteString(" " + strconv.FormatInt(s.took.Milliseconds(), 10) + "ms")
		if s.news > 0 {
			b.WriteString("@" + strconv.FormatInt(s.news.Milliseconds(), 10) + "ms")
		}
	}
	return b.String()
}
