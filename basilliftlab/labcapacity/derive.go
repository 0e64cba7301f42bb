package labcapacity

import (
	"fmt"

	"basillift.dev/basilliftlab/labbench"
)

// how writes out the arithmetic of a line at a size.
func how(l labbench.Line, size float64) string {
	if l.Straight() {
		return fmt.Sprintf("%.4g + %.4g × %g", l.Zero(), l.Slope(), size)
	}
	if l.Slope() < 0 {
		return "no line, at the largest size"
	}
	return "no line, largest measured"
}

// worked writes out a figure at the size of the page.
func (p *page) worked(experiment, figure, unit string) string {
	l := p.line(experiment, figure)
	if p.err != nil {
		return ""
	}
	size := sizeOf(experiment)
	return fmt.Sprintf("%s = %.4g %s", how(l, size), l.At(size), unit)
}

func sizeOf(experiment string) float64 {
	switch experiment {
	case overDomains:
		return domains
	case overCustomers:
		return 100_000
	case overStreams:
		return links
	default:
		return daemons
	}
}

// value is a figure at the size of the page.
func (p *page) value(experiment, figure string) float64 {
	l := p.line(experiment, figure)
	if p.err != nil {
		return 0
	}
	return l.At(sizeOf(experiment))
}

// restReads is the number of platform calls in a second at rest.
func (p *page) restReads() float64 { return p.value(overDomains, "rest.reads") }

// changeReads is the number of platform calls for one change.
func (p *page) changeReads() float64 { return p.value(overDomains, "change.one.reads") }

// readerRest is the platform bytes of one reader in a second at rest.
func (p *page) readerRest() float64 { return p.value(overDomains, "rest.platform") / readersOfAll }

// readerChanges is the platform bytes of one reader in a second for the day's changes.
func (p *page) readerChanges() float64 {
	return p.value(overDomains, "change.one.platform") / readersOfAll * changes / day
}

// restCPU is the share of a core in percent that one daemon uses at rest.
func (p *page) restCPU() float64 { return 100 * p.value(overMembers, "members.cpu") }

// changeCPU is the share of a core in percent that one daemon uses for the day's changes.
func (p *page) changeCPU() float64 {
	return 100 * p.slope(overDaemons, "change.one.cpu") * changes / day
}

// connections is the largest number of connections that a daemon needs: the head's tree,
// the other heads, and the ring on both sides.
const connections = fanOut + (domains - 1) + 4

// streamMemory is that of one end of a connection in MB.
func (p *page) streamMemory() float64 { return p.slope(overStreams, "stream.heap") / mega }

// ownMemory is what a daemon holds beside its connections, in MB.
func (p *page) ownMemory() float64 {
	held, links := p.line(overDaemons, "held.heap"), p.line(overDaemons, "held.connections")
	if p.err != nil {
		return 0
	}
	most := 0.0
	for i, n := range held.Sizes() {
		most = max(most, held.Values()[i]/n/mega-links.Values()[i]*p.streamMemory())
	}
	return most
}

// memory is that of a daemon with a number of connections, in MB.
func (p *page) memory(links float64) float64 { return p.ownMemory() + links*p.streamMemory() }

// slope is the growth of a figure for each unit of its axis.
func (p *page) slope(experiment, figure string) float64 {
	l := p.line(experiment, figure)
	if p.err != nil {
		return 0
	}
	return l.Slope()
}

// shared is the time in ms for which the cores of one machine are busy with the daemons'
// work for one change, and which a fleet on its own VMs does not spend.
func (p *page) shared(figure string) float64 {
	return 1000 * p.slope(overDaemons, figure) * daemons / float64(p.slopes.Cores())
}
