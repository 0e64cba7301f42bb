package labcapacity

import "basillift.dev/basilliftlab/labbench"

// verdict says whether a value is within a bound.
func verdict(value, bound float64) string {
	if value <= bound {
		return "kept"
	}
	return "**missed**"
}

func (p *page) bounds() {
	p.printf("## Bounds and goals\n\n| bound or goal | worked out | verdict |\n| --- | --- | --- |\n")
	p.convergenceBounds()
	p.trafficBounds()
	p.resourceBounds()
	p.printf("\n")
}

// upperEstimate is the larger of a line's value at the design size and the largest measured
// value: a line through noisy times is weak evidence, but no reason to expect less.
func upperEstimate(l labbench.Line) float64 { return max(l.Extrapolate(daemonCount), l.LargestValue()) }

func (p *page) convergenceBounds() {
	kinds := []struct{ name, text, statistic string }{
		{"one", "one customer's plan", "p99"},
		{"plan", "one plan's services", "p99"},
		{"tenth", "10%% of the customers", "worst"},
		{"burst", "last of a burst of 50", "worst"},
	}
	for _, k := range kinds {
		figure := "change." + k.name + "." + k.statistic
		l := p.line(experimentDaemons, figure)
		if p.err != nil {
			return
		}
		estimate := upperEstimate(l)
		p.printf("| convergence, "+k.text+", %s: bound 3 s, goal 1 s | largest measured %.0f ms; line %.4g + %.4g × %d = %.0f ms with r² %.3f; "+
			"the work of all daemons takes %d cores %.0f ms of it in one process | bound %s, goal %s |\n",
			k.statistic, l.LargestValue(), l.Intercept(), l.Slope(), daemonCount, l.Extrapolate(daemonCount), l.RSquared(), p.slopes.Cores(), p.sharedCoresMs("change."+k.name+".cpu"),
			verdict(estimate, maxConvergenceMs), verdict(estimate, goalConvergenceMs))
	}
	l := p.line(experimentDaemons, "change.one.p99")
	for i, size := range l.Sizes() {
		if size == 128 {
			p.printf("| convergence p99 at 128 daemons, goal 300 ms | measured %.0f ms | %s |\n", l.Values()[i], verdict(l.Values()[i], goalSmallMeshConvergenceMs))
		}
	}
}

func (p *page) trafficBounds() {
	rest := p.value(experimentDaemons, "rest.bytes")
	p.printf("| traffic between daemons at rest, mean of both directions: goal 1 KB/s | %s | %s |\n",
		p.derivation(experimentDaemons, "rest.bytes", "B/s"), verdict(rest, goalControlBytesPerSecond))
	p.printf("| the same at a head | %s | %s |\n", p.derivation(experimentDomains, "rest.bytes.head", "B/s"),
		verdict(p.value(experimentDomains, "rest.bytes.head"), goalControlBytesPerSecond))
	reader := p.readerRestBytesPerSecond() + p.readerChangeBytesPerSecond()
	p.printf("| all control traffic of a reader, its reads of the platform included: bound 10 KB/s | at rest %.0f B/s + changes %.0f B/s + daemons %.0f B/s = %.0f B/s at %d customers | %s |\n",
		p.readerRestBytesPerSecond(), p.readerChangeBytesPerSecond(), rest, reader+rest, customerCount, verdict(reader+rest, maxControlBytesPerSecond))
	ratio := p.value(experimentDaemons, "change.one.ratio")
	p.printf("| one-customer change, received bytes over the compressed delta: goal %.1f | %s | %s |\n", goalDeltaRatio,
		p.derivation(experimentDaemons, "change.one.ratio", ""), verdict(ratio, goalDeltaRatio))
	reads := p.restCallsPerSecond() + float64(p.callsPerChange()*changesPerDay/secondsPerDay)
	p.printf("| platform, bound %.0f calls/s | at rest %.2f/s + changes %.2f/s = %.2f/s | %s |\n", maxPlatformCallsPerSecond,
		p.restCallsPerSecond(), p.callsPerChange()*changesPerDay/secondsPerDay, reads, verdict(reads, maxPlatformCallsPerSecond))
	p.printf("| the same in a full restart, peak second | %s | %s |\n", p.derivation(experimentDaemons, "restart.peak", "calls/s"),
		verdict(p.value(experimentDaemons, "restart.peak"), maxPlatformCallsPerSecond))
}

func (p *page) resourceBounds() {
	cpu := p.restCPUPercent() + p.changeCPUPercent()
	p.printf("| CPU of a daemon for control: bound 1.2%% of a core | at rest %.3f%% + changes %.3f%% = %.3f%% | %s |\n",
		p.restCPUPercent(), p.changeCPUPercent(), cpu, verdict(cpu, maxCPUPercent))
	p.printf("| memory of a head, the daemon with most connections: bound 256 MB | %.1f MB + %d connections × %.2f MB = %.1f MB | %s |\n",
		p.baseMB(), headConnections, p.connectionMB(), p.memoryMB(headConnections), verdict(p.memoryMB(headConnections), maxMemoryMB))
	p.printf("| memory of a seed that all others greet in a full restart, %d connections | %.1f MB + %d × %.2f MB = %.1f MB | %s |\n",
		maxConnections, p.baseMB(), maxConnections, p.connectionMB(), p.memoryMB(maxConnections), verdict(p.memoryMB(maxConnections), maxMemoryMB))
}
