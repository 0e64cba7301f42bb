package basillift

import "time"

// Load is the load report of a target, which the daemon beside it adds to each answer.
type Load struct {
	running         int
	queued          int
	slots           int
	meanServiceTime time.Duration
	slowLink        bool
	backlog         time.Duration
	advisory        Advisory
	coldPerSecond   float64
	coldFor         time.Duration
}

// NewLoad returns a load report of a target whose link is not slow; slots is 0 if it is not known.
func NewLoad(running, queued, slots int, meanServiceTime time.Duration) Load {
	return Load{running: running, queued: queued, slots: slots, meanServiceTime: meanServiceTime}
}

// Running is the number of requests that occupy a slot.
func (l Load) Running() int { return l.running }

// Queued is the number of requests that wait for a slot.
func (l Load) Queued() int { return l.queued }

// Slots is how many requests the target runs at once; 0 if it is not known.
func (l Load) Slots() int { return l.slots }

// MeanServiceTime is the mean time for which a request occupies a slot.
func (l Load) MeanServiceTime() time.Duration { return l.meanServiceTime }

// WithSlowLink returns a copy for a VM with a slow link; backlog is how long the next large body waits for the link.
func (l Load) WithSlowLink(backlog time.Duration) Load {
	l.slowLink, l.backlog = true, backlog
	return l
}

// SlowLink reports whether the VM's link is slow, and how long the next large body waits for the link.
func (l Load) SlowLink() (backlog time.Duration, slow bool) { return l.backlog, l.slowLink }

// WithAdvisory returns a copy with what the target last said about itself.
func (l Load) WithAdvisory(a Advisory) Load {
	l.advisory = a
	return l
}

// Advisory is what the target last said about itself.
func (l Load) Advisory() Advisory { return l.advisory }

// WithColdLimit returns a copy for a target that is or may be cold: how many requests per second it gets from all VMs together,
// and for how long.
func (l Load) WithColdLimit(perSecond float64, remaining time.Duration) Load {
	l.coldPerSecond, l.coldFor = perSecond, remaining
	return l
}

// ColdLimit returns the values of WithColdLimit; false if the target is not limited as cold.
func (l Load) ColdLimit() (perSecond float64, remaining time.Duration, limited bool) {
	return l.coldPerSecond, l.coldFor, l.coldPerSecond > 0 && l.coldFor > 0
}
