package labcapacity

import (
	"fmt"
	"strings"

	"basillift.dev/basilliftlab/labbench"
)

// The experiments and systems whose lines the page uses.
const (
	experimentDaemons   = "daemons"
	experimentDomains   = "domains"
	experimentCustomers = "customers"
	experimentStreams   = "streams"
	experimentMembers   = "members"
	measuredSystem      = "basillift"
)

// page collects the text, the lines that it uses and the error of a line that is missing.
type page struct {
	slopes    labbench.Slopes
	text      strings.Builder
	err       error
	usedLines []labbench.Line
}

// Page returns the content of docs/CAPACITY.md.
func Page(s labbench.Slopes) (string, error) {
	p := &page{slopes: s}
	p.introduction()
	p.bounds()
	p.causes()
	p.roles()
	p.days()
	p.baselines()
	p.lines()
	if p.err != nil {
		return "", fmt.Errorf("derive page: %w", p.err)
	}
	return p.text.String(), nil
}

func (p *page) printf(format string, values ...any) {
	fmt.Fprintf(&p.text, format, values...)
}

// line returns the line of a figure and records that the page uses it.
func (p *page) line(experiment, figure string) labbench.Line {
	l, err := p.slopes.Line(experiment, measuredSystem, figure)
	if err != nil {
		p.err = err
		l, _ = p.slopes.Line(experimentDaemons, measuredSystem, "rest.bytes")
		return l
	}
	for _, u := range p.usedLines {
		if u.Name() == l.Name() && u.Axis() == l.Axis() {
			return l
		}
	}
	p.usedLines = append(p.usedLines, l)
	return l
}

func (p *page) introduction() {
	p.printf(`# Capacity

This page is generated from [slopes.json](slopes.json) by `+"`make capacity`"+`; a test fails when the two differ. The slopes were
recorded on one machine of %d cores, which other programs shared, by

    %s

Size of the page: %d daemons in %d failure domains (%d in each, tree depth %d with fan-out %d) and 2 regions, %d services,
%d calls/s in chains up to %d deep, %d changes a day, %d customers unless stated otherwise.

How a figure is worked out: a measured line with r² of at least 0.9 is carried from its sizes to the size of the page
(at 0 + slope × size); where the points do not follow a line, the largest measured value stands, or, for figures that fall with the size, that at the largest size.
Convergence is judged by the larger of both, however weak its line. Lines over daemons reach from
the measured sizes to nine times the largest, which is an extrapolation and no measurement. All daemons of a measured mesh share one process and the
machine's cores; on their own VMs they do not. No delays between failure domains were injected; the one-way latencies of the
design page (1 to 1.5 ms) are to be added for each hop that crosses failure domains.

`, p.slopes.Cores(), strings.Join(p.slopes.Commands(), "\n    "), daemonCount, domainCount, daemonsPerDomain(), treeDepth(), treeFanOut, serviceCount, callsPerSecond, maxCallDepth, changesPerDay, customerCount)
}

// lines prints every line that the page uses.
func (p *page) lines() {
	p.printf("## Measured lines\n\nEach line is the least-squares fit over the given sizes; the residual is the root of the mean squared distance.\n\n")
	p.printf("| figure | over | at a fixed | sizes | values | slope | at 0 | residual | r² | carried |\n")
	p.printf("| --- | --- | --- | --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	for _, l := range p.usedLines {
		carried := "measured value"
		if l.IsLinear() {
			carried = "line"
		}
		p.printf("| %s | %s | %s | %s | %s | %.4g | %.4g | %.4g | %.3f | %s |\n", l.Name(), l.Axis(), l.FixedSizes(),
			formatNumbers(l.Sizes()), formatNumbers(l.Values()), l.Slope(), l.Intercept(), l.Residual(), l.RSquared(), carried)
	}
}

func formatNumbers(list []float64) string {
	texts := make([]string, len(list))
	for i, v := range list {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, ", ")
}
