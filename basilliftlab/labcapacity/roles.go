package labcapacity

import "fmt"

func sum(zero, slope, size float64) string {
	return fmt.Sprintf("%.4g + %.4g × %g", zero, slope, size)
}

const (
	mega = 1e6
	// readersOfAll is the number of daemons that read the platform.
	readersOfAll = domains * readers
)

// restReads is the number of platform calls in a second at rest.
func (p *page) restReads() float64 { return p.value(overDomains, "rest.reads") }

// changeReads is the number of platform calls for one change.
func (p *page) changeReads() float64 { return p.value(overDomains, "change.one.reads") }

// readerRest is the platform bytes of one reader in a second at rest.
func (p *page) readerRest() float64 { return p.value(overDomains, "rest.platform") / readersOfAll }

// readerBytes adds those of the day's changes.
func (p *page) readerBytes() float64 {
	return p.readerRest() + p.value(overDomains, "change.one.platform")/readersOfAll*changes/day
}

// restCPU is the share of a core in percent that one daemon uses at rest.
func (p *page) restCPU() float64 { return 100 * p.slope("rest.cpu") }

// changeCPU is the share of a core in percent for the day's changes.
func (p *page) changeCPU() float64 { return 100 * p.slope("change.one.cpu") * changes / day }

// memory is that of one daemon in MB.
func (p *page) memory() float64 { return p.slope("held.resident") / mega }

// slope is the growth of a figure of the whole process for each daemon.
func (p *page) slope(figure string) float64 {
	l := p.line(overDaemons, figure)
	if p.err != nil {
		return 0
	}
	return l.Slope()
}

// roles prints one table for each role.
func (p *page) roles() {
	p.printf("## Roles\n\n")
	p.ordinary()
	p.reader()
	p.inner()
	p.headRole()
	p.others()
}

func (p *page) table(title string) {
	p.printf("### %s\n\n| what | worked out | mechanism | first thing that breaks beyond this size |\n| --- | --- | --- | --- |\n", title)
}

func (p *page) row(what, worked, mechanism, breaks string) {
	p.printf("| %s | %s | %s | %s |\n", what, worked, mechanism, breaks)
}

func (p *page) ordinary() {
	p.table("Ordinary daemon")
	p.row("state", fmt.Sprintf("1 snapshot of %d customers, 64 deltas, %d member records, %.1f MB resident with its streams", customers, daemons, p.memory()),
		"immutable snapshot, compressed streams", "the compressed streams: about 1 MB for each end of a connection, whatever they carry")
	p.row("messages at rest", fmt.Sprintf("2 probes/s out and 2 in, %.0f B/s in both directions", p.value(overDaemons, "rest.bytes.ordinary")),
		"ring of 2 successors, shared compression history", "nothing: does not grow with daemons")
	p.row("one-customer change", fmt.Sprintf("1 push in; %.0f B in both directions; %d a day make %.2f B/s",
		p.value(overDaemons, "change.one.bytes.ordinary"), changes, p.value(overDaemons, "change.one.bytes.ordinary")*changes/day),
		"delta on the tree", "nothing: does not grow with daemons")
	p.row("CPU", fmt.Sprintf("%.3f%% of a core at rest, %.4f%% for changes (slopes over daemons of the whole process)", p.restCPU(), p.changeCPU()),
		"O(1) probes, incremental digest", "the half-second tick, which visits every member record")
	p.printf("\n")
}

func (p *page) reader() {
	p.table(fmt.Sprintf("Reader of the platform (%d)", readersOfAll))
	p.row("reads", fmt.Sprintf("at rest %.3f/s, %.1f for each change", p.restReads()/readersOfAll, p.changeReads()/readersOfAll),
		"3 long polls, the watched value is not read again", "the platform's bytes, not its calls")
	p.row("platform bytes", fmt.Sprintf("at rest %.0f B/s, with %d changes a day %.0f B/s", p.readerRest(), changes, p.readerBytes()),
		"whole values: the platform has no deltas and an ended watch returns the value", "grows with the size of the lists; exceeds 10 KB/s with more customers or changes")
	p.row("CPU for one change", fmt.Sprintf("over customers: %s core-seconds over the %d readers of that mesh", p.worked("change.one.cpu"), 6),
		"strict decoding of the whole list, update of the snapshot", "decoding time at more customers")
	p.row("convergence", "over customers: p50 "+p.worked("change.one.p50")+" ms", "long poll, decode, push",
		"decoding of both lists dominates from 30,000 customers")
	p.printf("\n")
}

// worked writes out a line over customers at 100,000 customers.
func (p *page) worked(figure string) string {
	l := p.line(overCustomers, figure)
	if p.err != nil {
		return ""
	}
	const most = 100_000
	return fmt.Sprintf("%s = %.4g at %d customers", how(l, most), l.At(most), most)
}

func (p *page) inner() {
	p.table("Relay (inner node of a tree)")
	p.row("state", "as an ordinary daemon, and one queue of 256 messages for each of up to 9 neighbours", "bounded rings", "memory of streams")
	l := p.line(overDaemons, "change.one.bytes.inner")
	if p.err == nil {
		p.row("one-customer change", fmt.Sprintf("1 push in, up to %d out: %.0f B measured with the children that its mesh gave it, at most %d × %.0f B out",
			fanOut, l.Largest(), fanOut, p.value(overDaemons, "change.one.bytes")),
			"one encoded delta for all children, fan-out 8", "nothing: bounded by the fan-out; more daemons deepen the tree by one hop for each factor of 8")
	}
	p.printf("\n")
}

func (p *page) headRole() {
	p.table(fmt.Sprintf("Head (%d, one in each failure domain; also a reader and the top of its tree)", domains))
	l := p.line(overDomains, "rest.bytes.head")
	if p.err == nil {
		p.row("messages at rest", fmt.Sprintf("probes with %d other heads: %s = %.0f B/s", domains-1, how(l, domains), l.At(domains)),
			"heads probe each other", "grows with failure domains squared over all heads; 10 KB/s is far")
	}
	p.row("one-customer change", fmt.Sprintf("%.0f B in both directions, the largest daemon %.0f B",
		p.value(overDaemons, "change.one.bytes.head"), p.value(overDaemons, "change.one.bytes.most")), "8 children, announcements to other heads", "bursts, see below")
	p.row(fmt.Sprintf("burst of %d changes", 50), fmt.Sprintf("head %.0f B, mean daemon %.0f B", p.value(overDaemons, "change.burst.bytes.head"), p.value(overDaemons, "change.burst.bytes")),
		"readers of the platform see different versions of a burst", "full transfers between heads whose histories hold different versions")
	p.printf("\n")
}

func (p *page) others() {
	p.table("Notifier, operators' client, platform")
	p.row("notifier", "state: open matters, at most 256; one message for each matter. Not measured here: it sends nothing between daemons but ids in probes",
		"derived from membership", "ids of open matters travel in every probe")
	p.row("operators' client", fmt.Sprintf("one HTTP status request to each of %d daemons. Not measured here", daemons), "reads only", "its own connections and the size of each answer, which lists all members")
	p.row("platform calls", fmt.Sprintf("at rest %.2f/s, %.1f for each change = %.2f/s over the day", p.restReads(), p.changeReads(), p.changeReads()*changes/day),
		"2 readers for each failure domain", fmt.Sprintf("%.0f changes/s at this number of readers", boundReads/max(1, p.changeReads())))
	p.row("platform bytes", fmt.Sprintf("%.0f B for each one-customer change", p.value(overDomains, "change.one.platform")), "whole values to each reader", "the platform's network at more readers")
	p.printf("\n")
}
