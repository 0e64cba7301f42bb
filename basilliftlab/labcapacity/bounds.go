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
	p.printf("## Bounds and goals\n\n| bound or goal | worked out | verdict |\n| --- | --- | --- |\n")
	p.convergenceBounds()
	p.trafficBounds()
	p.resourceBounds()
	p.printf("\n")
}

// worse is the larger of a line's value and the largest measured one: a line through noisy
// times is weak evidence, but no reason to expect less.
func worse(l labbench.Line) float64 { return max(l.Carried(daemons), l.Largest()) }

func (p *page) convergenceBounds() {
	kinds := []struct{ name, text, tail string }{
		{"one", "one customer's plan", "p99"},
		{"plan", "one plan's services", "p99"},
		{"tenth", "10%% of the customers", "worst"},
		{"burst", "last of a burst of 50", "worst"},
	}
	for _, k := range kinds {
		figure := "change." + k.name + "." + k.tail
		l := p.line(overDaemons, figure)
		if p.err != nil {
			return
		}
		at := worse(l)
		p.printf("| convergence, "+k.text+", %s: bound 3 s, goal 1 s | largest measured %.0f ms; line %.4g + %.4g × %d = %.0f ms with r² %.3f; "+
			"the work of all daemons takes %d cores %.0f ms of it in one process | bound %s, goal %s |\n",
			k.tail, l.Largest(), l.Zero(), l.Slope(), daemons, l.Carried(daemons), l.Square(), p.slopes.Cores(), p.shared("change."+k.name+".cpu"),
			verdict(at, boundConvergence), verdict(at, goalConvergence))
	}
	l := p.line(overDaemons, "change.one.p99")
	for i, size := range l.Sizes() {
		if size == 128 {
			p.printf("| convergence p99 at 128 daemons, goal 300 ms | measured %.0f ms | %s |\n", l.Values()[i], verdict(l.Values()[i], goalSmall))
		}
	}
}

func (p *page) trafficBounds() {
	rest := p.value(overDaemons, "rest.bytes")
	p.printf("| traffic between daemons at rest, mean of both directions: goal 1 KB/s | %s | %s |\n",
		p.worked(overDaemons, "rest.bytes", "B/s"), verdict(rest, goalTraffic))
	p.printf("| the same at a head | %s | %s |\n", p.worked(overDomains, "rest.bytes.head", "B/s"),
		verdict(p.value(overDomains, "rest.bytes.head"), goalTraffic))
	reader := p.readerRest() + p.readerChanges()
	p.printf("| all control traffic of a reader, its reads of the platform included: bound 10 KB/s | at rest %.0f B/s + changes %.0f B/s + daemons %.0f B/s = %.0f B/s at %d customers | %s |\n",
		p.readerRest(), p.readerChanges(), rest, reader+rest, customers, verdict(reader+rest, boundTraffic))
	ratio := p.value(overDaemons, "change.one.ratio")
	p.printf("| one-customer change, received bytes over the compressed delta: goal %.1f | %s | %s |\n", boundRatio,
		p.worked(overDaemons, "change.one.ratio", ""), verdict(ratio, boundRatio))
	reads := p.restReads() + p.changeReads()*changes/day
	p.printf("| platform, bound %.0f calls/s | at rest %.2f/s + changes %.2f/s = %.2f/s | %s |\n", boundReads,
		p.restReads(), p.changeReads()*changes/day, reads, verdict(reads, boundReads))
	p.printf("| the same in a full restart, peak second | %s | %s |\n", p.worked(overDaemons, "restart.peak", "calls/s"),
		verdict(p.value(overDaemons, "restart.peak"), boundReads))
}

func (p *page) resourceBounds() {
	cpu := p.restCPU() + p.changeCPU()
	p.printf("| CPU of a daemon for control: bound 1.2%% of a core | at rest %.3f%% + changes %.3f%% = %.3f%% | %s |\n",
		p.restCPU(), p.changeCPU(), cpu, verdict(cpu, boundCPU))
	p.printf("| memory of a head, the daemon with most connections: bound 256 MB | %.1f MB + %d connections × %.2f MB = %.1f MB | %s |\n",
		p.ownMemory(), connections, p.streamMemory(), p.memory(connections), verdict(p.memory(connections), boundMemory))
	p.printf("| memory of a seed that all others greet in a full restart, %d connections | %.1f MB + %d × %.2f MB = %.1f MB | %s |\n",
		links, p.ownMemory(), links, p.streamMemory(), p.memory(links), verdict(p.memory(links), boundMemory))
}
