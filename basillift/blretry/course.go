package blretry

import "time"

// refusalsMost is how many targets may refuse one request before it goes back to its caller. Each
// costs a round trip but no run.
const refusalsMost = 4

// Ending says how an attempt at one target ended, for the decision what follows.
type Ending string

// The endings.
const (
	// EndingAnswered is an answer of a target that is passed on.
	EndingAnswered Ending = "answered"
	// EndingRefused means that a daemon refused the request before a target saw it.
	EndingRefused Ending = "refused"
	// EndingShed means that a target saw the request and said that it did not run it.
	EndingShed Ending = "shed"
	// EndingUnreachable means that no byte of the request was sent.
	EndingUnreachable Ending = "unreachable"
	// EndingFailed is a failure that a target answered after it ran the request.
	EndingFailed Ending = "failed"
	// EndingBroken means that nothing is known: the request may have run.
	EndingBroken Ending = "broken"
	// EndingNoTarget means that there was nobody left to try.
	EndingNoTarget Ending = "no-target"
)

// Ran reports whether the request may have run.
func (e Ending) Ran() bool {
	return e == EndingAnswered || e == EndingFailed || e == EndingBroken
}

// Arrived reports whether the target may have seen the request.
func (e Ending) Arrived() bool { return e.Ran() || e == EndingShed }

// Follow is what follows an attempt.
type Follow string

// What may follow.
const (
	// FollowAgain sends the request to another target.
	FollowAgain Follow = "again"
	// FollowAnswer passes on what the target answered.
	FollowAnswer Follow = "answer"
	// FollowNotRun tells the caller that the request did not run.
	FollowNotRun Follow = "not-run"
	// FollowUnknown tells the caller that nothing is known.
	FollowUnknown Follow = "unknown"
)

// Course is the way of one request through its attempts. It is not safe for concurrent use.
type Course struct {
	repeatable bool
	attempts   int
	deadline   time.Time
	arrivals   int
	refusals   int
	ran        bool
}

// NewCourse returns the course of a request that may be sent to so many targets until the deadline.
func NewCourse(repeatable bool, attempts int, deadline time.Time) *Course {
	return &Course{repeatable: repeatable, attempts: attempts, deadline: deadline}
}

// Ran reports whether the request may have run in an attempt so far.
func (c *Course) Ran() bool { return c.ran }

// Next decides what follows an attempt. resend is false when the body cannot be
// sent again; repeat takes a repeat from the allowance and is only asked if it matters.
func (c *Course) Next(now time.Time, e Ending, resend bool, repeat func() bool) Follow {
	if e.Arrived() {
		c.arrivals++
	}
	c.ran = c.ran || e.Ran()
	if e == EndingAnswered {
		return FollowAnswer
	}
	if e == EndingRefused || e == EndingUnreachable {
		c.refusals++
	}
	if resend && e != EndingNoTarget && c.mayFollow(now, e) && (c.arrivals == 0 || repeat()) {
		return FollowAgain
	}
	switch {
	case e == EndingFailed:
		return FollowAnswer
	case c.ran:
		return FollowUnknown
	default:
		return FollowNotRun
	}
}

// mayFollow reports whether another attempt is allowed, whatever the allowance.
func (c *Course) mayFollow(now time.Time, e Ending) bool {
	switch {
	case c.ran && !c.repeatable:
		return false
	case c.arrivals >= c.attempts || c.refusals >= refusalsMost:
		return false
	default:
		return !now.Add(minRemaining).After(c.deadline)
	}
}
