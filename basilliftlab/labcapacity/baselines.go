package labcapacity

import "basillift.dev/basilliftlab/labbench"

// baselines prints the figures of the measured system beside those of its baselines, all
// from one run.
func (p *page) baselines() {
	p.printf("## Baselines of the same run\n\n")
	p.printf("`watch`: each daemon watches the platform itself. `poll`: readers and tree as measured, each daemon polls its parent once a second.\n")
	p.printf("`full`: readers and tree as measured, the full state is pushed in place of deltas. The baselines have no membership.\n\n")
	p.printf("| figure | basillift | watch | poll | full |\n| --- | ---: | ---: | ---: | ---: |\n")
	for _, f := range []struct{ name, text string }{
		{"change.one.p50", "one-customer change, p50, ms"},
		{"change.one.worst", "one-customer change, worst, ms"},
		{"change.tenth.p50", "10%% of the customers, p50, ms"},
		{"change.one.bytes", "one-customer change, received by a daemon, B"},
		{"change.tenth.bytes", "10%% of the customers, received by a daemon, B"},
		{"change.one.platform", "one-customer change, bytes of the platform over all"},
		{"change.one.reads", "one-customer change, calls of the platform"},
		{"change.one.cpu", "one-customer change, core-seconds over all"},
		{"rest.bytes", "at rest between daemons, B/s for each"},
		{"rest.reads", "at rest, calls/s of the platform"},
		{"rest.platform", "at rest, bytes/s of the platform over all"},
		{"restart.reads", "full restart, calls of the platform"},
	} {
		p.printf("| "+f.text+" | %s | %s | %s | %s |\n", p.measuredValue(measuredSystem, f.name), p.measuredValue("watch", f.name),
			p.measuredValue("poll", f.name), p.measuredValue("full", f.name))
	}
	p.printf("\n")
}

// measuredValue formats the largest measured value of a figure of one system.
func (p *page) measuredValue(system, figure string) string {
	l, err := p.slopes.Line("baselines", system, figure)
	if err != nil {
		p.err = err
		return ""
	}
	return formatNumbers([]float64{labbench.Line.LargestValue(l)})
}
