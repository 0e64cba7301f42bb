package labcapacity

import (
	"fmt"

	"basillift.dev/basilliftlab/labbench"
)

// formula returns the arithmetic that gives a line's value at a size, or names the measured
// value that is used where the points do not follow the line.
func formula(l labbench.Line, size float64) string {
	if l.IsLinear() {
		return fmt.Sprintf("%.4g + %.4g × %g", l.Intercept(), l.Slope(), size)
	}
	if l.Slope() < 0 {
		return "no line, at the largest size"
	}
	return "no line, largest measured"
}

// derivation returns the formula and the value of a figure at the design size.
func (p *page) derivation(experiment, figure, unit string) string {
	l := p.line(experiment, figure)
	if p.err != nil {
		return ""
	}
	size := designSize(experiment)
	return fmt.Sprintf("%s = %.4g %s", formula(l, size), l.Estimate(size), unit)
}

// designSize is the size to which an experiment's lines are extrapolated.
func designSize(experiment string) float64 {
	switch experiment {
	case experimentDomains:
		return domainCount
	case experimentCustomers:
		return 100_000
	case experimentStreams:
		return maxConnections
	default:
		return daemonCount
	}
}

// value is a figure at the design size.
func (p *page) value(experiment, figure string) float64 {
	l := p.line(experiment, figure)
	if p.err != nil {
		return 0
	}
	return l.Estimate(designSize(experiment))
}

// restCallsPerSecond is the rate of platform calls of all readers at rest.
func (p *page) restCallsPerSecond() float64 { return p.value(experimentDomains, "rest.reads") }

// callsPerChange is the number of platform calls of all readers for one change.
func (p *page) callsPerChange() float64 { return p.value(experimentDomains, "change.one.reads") }

// readerRestBytesPerSecond is the platform traffic of one reader at rest.
func (p *page) readerRestBytesPerSecond() float64 {
	return p.value(experimentDomains, "rest.platform") / readerCount
}

// readerChangeBytesPerSecond is the platform traffic of one reader for the day's changes,
// spread over the day.
func (p *page) readerChangeBytesPerSecond() float64 {
	return p.value(experimentDomains, "change.one.platform") / readerCount * changesPerDay / secondsPerDay
}

// restCPUPercent is the share of a core that one daemon uses at rest.
func (p *page) restCPUPercent() float64 { return 100 * p.value(experimentMembers, "members.cpu") }

// changeCPUPercent is the share of a core that one daemon uses for the day's changes.
func (p *page) changeCPUPercent() float64 {
	return 100 * p.slope(experimentDaemons, "change.one.cpu") * changesPerDay / secondsPerDay
}

// headConnections is the number of connections of a head, the largest that a daemon needs:
// its children, the other heads and two ring neighbors on each side.
const headConnections = treeFanOut + (domainCount - 1) + 4

// connectionMB is the memory of one end of a connection.
func (p *page) connectionMB() float64 { return p.slope(experimentStreams, "stream.heap") / bytesPerMB }

// baseMB is the memory of a daemon without its connections.
func (p *page) baseMB() float64 {
	heap, connections := p.line(experimentDaemons, "held.heap"), p.line(experimentDaemons, "held.connections")
	if p.err != nil {
		return 0
	}
	largest := 0.0
	for i, n := range heap.Sizes() {
		largest = max(largest, heap.Values()[i]/n/bytesPerMB-float64(connections.Values()[i]*p.connectionMB()))
	}
	return largest
}

// memoryMB is the memory of a daemon with a number of connections.
func (p *page) memoryMB(connections float64) float64 {
	return p.baseMB() + float64(connections*p.connectionMB())
}

// slope is the growth of a figure for each unit of its axis.
func (p *page) slope(experiment, figure string) float64 {
	l := p.line(experiment, figure)
	if p.err != nil {
		return 0
	}
	return l.Slope()
}

// sharedCoresMs is the time for which the daemons' work for one change keeps the cores of the
// measuring machine busy. It does not arise when each daemon runs on its own VM.
func (p *page) sharedCoresMs(figure string) float64 {
	return 1000 * p.slope(experimentDaemons, figure) * daemonCount / float64(p.slopes.Cores())
}
