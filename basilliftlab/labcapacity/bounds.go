package labcapacity

import "basillift.dev/basilliftlab/labbench"

// verdict names whether a figure keeps a bound.
func verdict(value, bound float64) string {
	if value <= bound {
		return "kept"
	}
	return "**missed**"
}

func (p *page) bounds() {
	p.printf("## Bounds\n\n| bound | worked out | verdict |\n| --- | --- | --- |\n")
	p.convergenceBounds()
	p.trafficBounds()
	p.resourceBounds()
	p.printf("\n")
}

func (p *page) convergenceBounds() {
	for _, f := range []string{"change.one.p99", "change.tenth.worst"} {
		l := p.line(overDaemons, f)
		if p.err != nil {
			return
		}
		at := l.At(daemons)
		p.printf("| convergence, %s, 3 s (goal 1 s at %d) | %s = %.0f ms; the CPU time of all daemons shares %d cores in this figure | bound %s, goal %s |\n",
			l.Name(), daemons, how(l, daemons), at, p.slopes.Cores(), verdict(at, boundConvergence), verdict(at, goalConvergence))
	}
	l := p.line(overDaemons, "change.one.p99")
	for i, size := range l.Sizes() {
		if size == 128 {
			p.printf("| convergence p99, goal 300 ms at 128 | measured %.0f ms | %s |\n", l.Values()[i], verdict(l.Values()[i], goalSmall))
		}
	}
}

func (p *page) trafficBounds() {
	rest := p.value(overDaemons, "rest.bytes")
	p.printf("| control traffic at rest between daemons, mean, goal 1 KB/s | %.0f B/s in both directions | %s |\n", rest, verdict(rest, goalTraffic))
	head := p.value(overDomains, "rest.bytes.head")
	p.printf("| the same, a head | %.0f B/s | %s |\n", head, verdict(head, goalTraffic))
	reader := p.readerBytes()
	p.printf("| control traffic of a reader with its reads of the platform, 10 KB/s | at rest %.0f B/s, changes %.0f B/s, sum %.0f B/s | %s |\n",
		p.readerRest(), reader-p.readerRest(), reader, verdict(reader, boundTraffic))
	ratio := p.value(overDaemons, "change.one.ratio")
	p.printf("| one-customer change, received bytes over compressed delta, %.1f | %.2f | %s |\n", boundRatio, ratio, verdict(ratio, boundRatio))
	reads := p.restReads() + p.changeReads()*changes/day
	p.printf("| platform, %.0f calls/s over all | at rest %.2f/s, changes %.2f/s; restart peak %.0f/s | %s |\n", boundReads,
		p.restReads(), p.changeReads()*changes/day, p.value(overDaemons, "restart.peak"), verdict(max(reads, p.value(overDaemons, "restart.peak")), boundReads))
}

func (p *page) resourceBounds() {
	cpu := p.restCPU() + p.changeCPU()
	p.printf("| CPU of a daemon for control, 1.2%% of a core | at rest %.3f%%, changes %.3f%%, sum %.3f%% | %s |\n",
		p.restCPU(), p.changeCPU(), cpu, verdict(cpu, boundCPU))
	memory := p.memory()
	p.printf("| memory of a daemon for control, 256 MB | %.1f MB mean at %d customers | %s |\n", memory, customers, verdict(memory, boundMemory))
}

// how writes out the arithmetic of a line at a size.
func how(l labbench.Line, size float64) string {
	if l.Straight() {
		return sum(l.Zero(), l.Slope(), size)
	}
	return "no line; largest measured value"
}
