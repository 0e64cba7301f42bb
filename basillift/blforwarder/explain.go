package blforwarder

import (
	"fmt"
	"time"

	"basillift.dev/basillift/blbalance"
)

// ExplainTargets describes each target that a request could be sent to, one line each: the state that the balancer
// has of it. It returns nil without a routing table or a matching route.
func (f *Forwarder) ExplainTargets(now time.Time, host, path string) []string {
	table := f.tables.Current()
	if table == nil {
		return nil
	}
	route, found := table.Match(host, path)
	if !found {
		return nil
	}
	lines := f.cold.explain(now)
	query := blbalance.NewRequest(route.Name(), f.answerSizes.expectedBytes(route.Name()), now.Add(route.LatencyObjective()))
	for _, s := range route.Services() {
		targets := f.fleet.Targets(s.Service())
		lines = append(lines, f.explainEvacuated(s.Service())...)
		if len(targets) == 0 {
			lines = append(lines, fmt.Sprintf("targets of %s: none; the answer is 503", s.Service()))
		}
		for _, t := range targets {
			lines = append(lines, fmt.Sprintf("target %s: %s", t.Endpoint().Instance(), f.balancer.Explain(now, t, query)))
		}
	}
	return lines
}
