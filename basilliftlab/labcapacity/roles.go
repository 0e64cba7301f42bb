package labcapacity

import "fmt"

// roles prints one table for each role.
func (p *page) roles() {
	p.printf("## Roles on an ordinary day\n\n")
	p.ordinary()
	p.reader()
	p.inner()
	p.headRole()
	p.notifier()
	p.client()
	p.platform()
}

func (p *page) table(title string) {
	p.printf("### %s\n\n| what | worked out | mechanism | breaks first beyond this size |\n| --- | --- | --- | --- |\n", title)
}

func (p *page) row(what, worked, mechanism, breaks string) {
	p.printf("| %s | %s | %s | %s |\n", what, worked, mechanism, breaks)
}

func (p *page) ordinary() {
	p.table("Ordinary daemon (a leaf of its tree)")
	p.row("state", fmt.Sprintf("1 snapshot, 64 deltas, %d member records; 5 connections", daemons), "immutable snapshot with shared shards", "member records: each daemon holds all")
	p.row("memory", fmt.Sprintf("%.1f MB + 5 × %.2f MB = %.1f MB", p.ownMemory(), p.streamMemory(), p.memory(5)),
		"one zstd encoder and decoder for each connection", "the number of connections, not of customers")
	p.row("messages at rest", fmt.Sprintf("2 probes/s out, 2 in, with answers: %s in both directions", p.worked(overDaemons, "rest.bytes.ordinary", "B/s")),
		"ring of 2 successors; shared compression history", "does not grow with daemons; one record digest for each failure domain")
	p.row("messages for one change", fmt.Sprintf("1 push in: %s; %d a day make %.2f B/s", p.worked(overDaemons, "change.one.bytes.ordinary", "B"),
		changes, p.value(overDaemons, "change.one.bytes.ordinary")*changes/day), "delta on the tree", "does not grow with daemons")
	p.row("CPU at rest", p.worked(overMembers, "members.cpu", "of a core (upper bound: its probes fail)"), "constant number of probes", "the tick every 500 ms visits every member record")
	p.row("CPU for one change", fmt.Sprintf("%.4g core-s (slope of the whole process over daemons)", p.slope(overDaemons, "change.one.cpu")), "digest updated from the delta", "does not grow with customers")
	p.printf("\n")
}

func (p *page) reader() {
	p.table(fmt.Sprintf("Reader of the platform (%d in all)", readersOfAll))
	p.row("state", "as above, and the values that it read last", "two readers for each failure domain, derived by every daemon", "lists near 1 MB for each value")
	p.row("calls at rest", fmt.Sprintf("%.3f/s (%s over all readers)", p.restReads()/readersOfAll, p.worked(overDomains, "rest.reads", "/s")), "3 long polls of 30 s", "does not grow with daemons")
	p.row("calls for one change", fmt.Sprintf("%.1f (%s over all readers)", p.changeReads()/readersOfAll, p.worked(overDomains, "change.one.reads", "")),
		"the watched value is not read again", "more parts: "+p.worked(overCustomers, "change.one.reads", "calls over 6 readers"))
	p.row("platform bytes", fmt.Sprintf("at rest %.0f B/s, with %d changes a day %.0f B/s more", p.readerRest(), changes, p.readerChanges()),
		"conditional reads: only the value or part that changed is transferred", "bytes: they grow with customers × changes")
	p.row("time for one change", p.worked(overCustomers, "change.one.p50", "ms p50 at 100,000 customers"), "decode both lists, update the snapshot", "decoding at more customers")
	p.row("CPU for one change", p.worked(overCustomers, "change.one.cpu", "core-s over 6 readers at 100,000 customers"), "canonical form is decoded without the walker", "decoding at more customers")
	p.printf("\n")
}

func (p *page) inner() {
	p.table("Relay (inner node of a tree)")
	p.row("state", fmt.Sprintf("as an ordinary daemon, with up to %d more connections and a queue of 256 messages for each", fanOut), "bounded queues", "memory of connections")
	p.row("memory", fmt.Sprintf("%.1f MB + 13 × %.2f MB = %.1f MB", p.ownMemory(), p.streamMemory(), p.memory(13)), "as above", "fan-out above 8")
	p.row("messages at rest", p.worked(overDaemons, "rest.bytes.ordinary", "B/s")+", as an ordinary daemon", "the tree is silent at rest", "does not grow")
	p.row("messages for one change", fmt.Sprintf("1 push in, up to %d out: %d × %.0f B = %.0f B", fanOut, fanOut+1,
		p.value(overDaemons, "change.one.bytes"), (fanOut+1)*p.value(overDaemons, "change.one.bytes")),
		"the delta is encoded once for all children", "does not grow; a factor of 8 in daemons adds one hop")
	p.printf("\n")
}

func (p *page) headRole() {
	p.table(fmt.Sprintf("Head (%d, one in each failure domain; also a reader and the top of its tree)", domains))
	p.row("state", fmt.Sprintf("as a reader, with %d connections: 8 children, %d heads, 4 in the ring", connections, domains-1), "derived from membership", "memory of connections")
	p.row("memory", fmt.Sprintf("%.1f MB + %d × %.2f MB = %.1f MB", p.ownMemory(), connections, p.streamMemory(), p.memory(connections)), "as above", "more failure domains")
	p.row("messages at rest", p.worked(overDomains, "rest.bytes.head", "B/s"), "heads probe each other", "failure domains squared over all heads")
	p.row("messages for one change", p.worked(overDaemons, "change.one.bytes.head", "B"), "8 children and announcements to other heads", "does not grow with daemons once the tree is full")
	p.row("burst of 50 changes", fmt.Sprintf("head: %s; mean daemon: %s", p.worked(overDaemons, "change.burst.bytes.head", "B"), p.worked(overDaemons, "change.burst.bytes", "B")),
		"readers see different versions of a burst and fetch from each other",
		"a head asks for a delta from a version that the other head skipped, and gets the full snapshot")
	p.printf("\n")
}

func (p *page) notifier() {
	p.table("Notifier")
	p.row("state", "at most 256 open matters", "the alive member with the lowest hash; no election", "ids of open matters travel in each probe")
	p.row("messages", "not measured: one message to the operators for each matter, none between daemons but the ids", "as above", "matters that open together")
	p.printf("\n")
}

func (p *page) client() {
	p.table("Operators' client")
	p.row("messages", fmt.Sprintf("not measured: one status request to each of %d daemons", daemons), "HTTP on the admin address", "each answer lists all members, so that all answers grow with daemons squared")
	p.printf("\n")
}

func (p *page) platform() {
	p.table("Platform")
	p.row("calls", fmt.Sprintf("at rest %.2f/s; %.1f for each change, %.2f/s over the day", p.restReads(), p.changeReads(), p.changeReads()*changes/day),
		"2 readers for each failure domain", fmt.Sprintf("at %d readers, %.0f changes/s", readersOfAll, boundReads/max(1, p.changeReads())))
	p.row("bytes", fmt.Sprintf("at rest %s; for one change %s", p.worked(overDomains, "rest.platform", "B/s"), p.worked(overDomains, "change.one.platform", "B")),
		"values and parts that changed, to each reader", "its network: the sum grows with readers × customers × changes")
	p.row("full restart", fmt.Sprintf("%s, peak second %s", p.worked(overDaemons, "restart.reads", "calls"), p.worked(overDaemons, "restart.peak", "calls/s")),
		"peers first, then readers only", "daemons that know no other member count as readers once their wait is over")
	p.printf("\n")
}
