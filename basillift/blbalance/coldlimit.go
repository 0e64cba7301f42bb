package blbalance

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

// SetColdStarts sets the cold start of each service by the routing table, and when the last evacuation of a failure domain has
// ended. It must be called before the balancer is used.
func (b *Balancer) SetColdStarts(coldStart func(service string) (warmup time.Duration, perSecond float64, limited bool),
	evacuationEnded func(basillift.FailureDomain) (at time.Time, known bool),
) {
	b.coldStart, b.evacuationEnded = coldStart, evacuationEnded
}

// coldLimit returns how many requests per second a target gets from all VMs together because it is cold; false if it is not. The
// daemon beside the target knows that and reports it. Without a report of the target's current run, the entry and the routing
// table say it, and after an evacuation a target may be cold for a whole warm-up. Addresses: a target or a failure domain that
// comes back cold would be sent requests that its daemons have to refuse.
func (b *Balancer) coldLimit(now time.Time, t *blfleet.Target, s *targetState) (perSecond float64, limited bool) {
	e := t.Endpoint()
	var warmup time.Duration
	var evacuationEnd time.Time
	configured := false
	if b.coldStart != nil {
		warmup, perSecond, configured = b.coldStart(e.Service())
	}
	if configured {
		evacuationEnd, _ = b.evacuationEnded(e.Domain())
	}
	reported := !s.reportedAt.IsZero() && s.reportedRun.Equal(e.StartedAt()) && !s.reportedAt.Before(evacuationEnd)
	if reported {
		if reportedLimit, remaining, cold := s.load.ColdLimit(); cold && now.Before(s.reportedAt.Add(remaining)) {
			return reportedLimit, true
		}
	}
	switch {
	case !configured, reported && now.Sub(s.reportedAt) < loadReportLifetime:
		return 0, false
	case now.Before(t.WarmupEnd()):
		return perSecond, true
	}
	return perSecond, !reported && !evacuationEnd.IsZero() && now.Before(evacuationEnd.Add(warmup))
}
