package blforwarder

import (
	"fmt"
	"time"

	"basillift.dev/basillift/blbalance"
)

// ExplainTargets says what this daemon knows of each target that a request could go to.
func (c *Forwarder) ExplainTargets(now time.Time, host, path string) []string {
	table := c.tables.Current()
	if table == nil {
		return nil
	}
	route, found := table.Match(host, path)
	if !found {
		return nil
	}
	var steps []string
	ask := blbalance.NewRequest(route.Name(), c.sizes.expected(route.Name()), now.Add(route.LatencyObjective()))
	for _, s := range route.Services() {
		targets := c.fleet.Targets(s.Service())
		if len(targets) == 0 {
			steps = append(steps, fmt.Sprintf("targets of %s: none; the answer is 503", s.Service()))
		}
		for _, t := range targets {
			steps = append(steps, fmt.Sprintf("target %s: %s", t.Endpoint().Instance(), c.placer.Explain(now, t, ask)))
		}
	}
	return steps
}
