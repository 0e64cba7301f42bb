package basillift

import "time"

// Load is what the daemon beside a target says of it with each answer.
type Load struct {
	running         int
	queued          int
	slots           int
	meanServiceTime time.Duration
	slowLink        bool
	backlog         time.Duration
}

// NewLoad returns the requests that run and wait, the slots, and the mean time for which a request holds a slot.
func NewLoad(running, queued, slots int, hold time.Duration) Load {
	return Load{running: running, queued: queued, slots: slots, meanServiceTime: hold}
}

// Running is the number of requests that hold a slot.
func (l Load) Running() int { return l.running }

// Queued is the number of requests that wait.
func (l Load) Queued() int { return l.queued }

// Slots is how many requests the target runs at once; 0 if it is not known.
func (l Load) Slots() int { return l.slots }

// MeanServiceTime is the mean time for which a request holds a slot.
func (l Load) MeanServiceTime() time.Duration { return l.meanServiceTime }

// WithSlowLink adds that the VM's link is thin, and how long the next large body waits for it.
func (l Load) WithSlowLink(backlog time.Duration) Load {
	l.slowLink, l.backlog = true, backlog
	return l
}

// SlowLink reports whether the VM's link is thin, and how long the next large body waits for it.
func (l Load) SlowLink() (backlog time.Duration, thin bool) { return l.backlog, l.slowLink }
