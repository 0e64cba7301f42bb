package labcapacity

import "fmt"

func (p *page) roles() {
	p.printf("## Roles on an ordinary day\n\n")
	p.ordinary()
	p.reader()
	p.inner()
	p.head()
	p.notifier()
	p.client()
	p.platform()
}

func (p *page) table(title string) {
	p.printf("### %s\n\n| what | worked out | mechanism | breaks first beyond this size |\n| --- | --- | --- | --- |\n", title)
}

func (p *page) row(what, derivation, mechanism, breaksFirst string) {
	p.printf("| %s | %s | %s | %s |\n", what, derivation, mechanism, breaksFirst)
}

func (p *page) ordinary() {
	p.table("Ordinary daemon (a leaf of its tree)")
	p.row("state", fmt.Sprintf("1 snapshot, 64 deltas, %d member records; 5 connections", daemonCount), "immutable snapshot with shared shards", "member records: each daemon holds all")
	p.row("memory", fmt.Sprintf("%.1f MB + 5 × %.2f MB = %.1f MB", p.baseMB(), p.connectionMB(), p.memoryMB(5)),
		"one zstd encoder and decoder for each connection", "the number of connections, not of customers")
	p.row("messages at rest", fmt.Sprintf("2 probes/s out, 2 in, with answers: %s in both directions", p.derivation(experimentDaemons, "rest.bytes.ordinary", "B/s")),
		"ring of 2 successors; shared compression history", "does not grow with daemons; one record digest for each failure domain")
	p.row("messages for one change", fmt.Sprintf("1 push in: %s; %d a day make %.2f B/s", p.derivation(experimentDaemons, "change.one.bytes.ordinary", "B"),
		changesPerDay, p.value(experimentDaemons, "change.one.bytes.ordinary")*changesPerDay/secondsPerDay), "delta on the tree", "does not grow with daemons")
	p.row("CPU at rest", p.derivation(experimentMembers, "members.cpu", "of a core (upper bound: its probes fail)"), "constant number of probes", "the tick every 500 ms visits every member record")
	p.row("CPU for one change", fmt.Sprintf("%.4g core-s (slope of the whole process over daemons)", p.slope(experimentDaemons, "change.one.cpu")), "digest updated from the delta", "does not grow with customers")
	p.printf("\n")
}

func (p *page) reader() {
	p.table(fmt.Sprintf("Reader of the platform (%d in all)", readerCount))
	p.row("state", "as above, and the values that it read last", "two readers for each failure domain, derived by every daemon", "lists near 1 MB for each value")
	p.row("calls at rest", fmt.Sprintf("%.3f/s (%s over all readers)", p.restCallsPerSecond()/readerCount, p.derivation(experimentDomains, "rest.reads", "/s")), "3 long polls of 30 s", "does not grow with daemons")
	p.row("calls for one change", fmt.Sprintf("%.1f (%s over all readers)", p.callsPerChange()/readerCount, p.derivation(experimentDomains, "change.one.reads", "")),
		"the watched value is not read again", "more parts: "+p.derivation(experimentCustomers, "change.one.reads", "calls over 6 readers"))
	p.row("platform bytes", fmt.Sprintf("at rest %.0f B/s, with %d changes a day %.0f B/s more", p.readerRestBytesPerSecond(), changesPerDay, p.readerChangeBytesPerSecond()),
		"conditional reads: only the value or part that changed is transferred", "bytes: they grow with customers × changes")
	p.row("time for one change", p.derivation(experimentCustomers, "change.one.p50", "ms p50 at 100,000 customers"), "decode both lists, update the snapshot", "decoding at more customers")
	p.row("CPU for one change", p.derivation(experimentCustomers, "change.one.cpu", "core-s over 6 readers at 100,000 customers"), "canonical form is decoded without the walker", "decoding at more customers")
	p.printf("\n")
}

func (p *page) inner() {
	p.table("Relay (inner node of a tree)")
	p.row("state", fmt.Sprintf("as an ordinary daemon, with up to %d more connections and a queue of 256 messages for each", treeFanOut), "bounded queues", "memory of connections")
	p.row("memory", fmt.Sprintf("%.1f MB + 13 × %.2f MB = %.1f MB", p.baseMB(), p.connectionMB(), p.memoryMB(13)), "as above", "fan-out above 8")
	p.row("messages at rest", p.derivation(experimentDaemons, "rest.bytes.ordinary", "B/s")+", as an ordinary daemon", "the tree is silent at rest", "does not grow")
	p.row("messages for one change", fmt.Sprintf("1 push in, up to %d out: %d × %.0f B = %.0f B", treeFanOut, treeFanOut+1,
		p.value(experimentDaemons, "change.one.bytes"), (treeFanOut+1)*p.value(experimentDaemons, "change.one.bytes")),
		"the delta is encoded once for all children", "does not grow; a factor of 8 in daemons adds one hop")
	p.printf("\n")
}

func (p *page) head() {
	p.table(fmt.Sprintf("Head (%d, one in each failure domain; also a reader and the top of its tree)", domainCount))
	p.row("state", fmt.Sprintf("as a reader, with %d connections: 8 children, %d heads, 4 in the ring", headConnections, domainCount-1), "derived from membership", "memory of connections")
	p.row("memory", fmt.Sprintf("%.1f MB + %d × %.2f MB = %.1f MB", p.baseMB(), headConnections, p.connectionMB(), p.memoryMB(headConnections)), "as above", "more failure domains")
	p.row("messages at rest", p.derivation(experimentDomains, "rest.bytes.head", "B/s"), "heads probe each other", "failure domains squared over all heads")
	p.row("messages for one change", p.derivation(experimentDaemons, "change.one.bytes.head", "B"), "8 children and announcements to other heads", "does not grow with daemons once the tree is full")
	p.row("burst of 50 changes", fmt.Sprintf("head: %s; mean daemon: %s", p.derivation(experimentDaemons, "change.burst.bytes.head", "B"), p.derivation(experimentDaemons, "change.burst.bytes", "B")),
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
	p.row("messages", fmt.Sprintf("not measured: one status request to each of %d daemons", daemonCount), "HTTP on the admin address", "each answer lists all members, so that all answers grow with daemons squared")
	p.printf("\n")
}

func (p *page) platform() {
	p.table("Platform")
	p.row("calls", fmt.Sprintf("at rest %.2f/s; %.1f for each change, %.2f/s over the day", p.restCallsPerSecond(), p.callsPerChange(), p.callsPerChange()*changesPerDay/secondsPerDay),
		"2 readers for each failure domain", fmt.Sprintf("at %d readers, %.0f changes/s", readerCount, maxPlatformCallsPerSecond/max(1, p.callsPerChange())))
	p.row("bytes", fmt.Sprintf("at rest %s; for one change %s", p.derivation(experimentDomains, "rest.platform", "B/s"), p.derivation(experimentDomains, "change.one.platform", "B")),
		"values and parts that changed, to each reader", "its network: the sum grows with readers × customers × changes")
	p.row("full restart", fmt.Sprintf("%s, peak second %s", p.derivation(experimentDaemons, "restart.reads", "calls"), p.derivation(experimentDaemons, "restart.peak", "calls/s")),
		"peers first, then readers only", "daemons that know no other member count as readers once their wait is over")
	p.printf("\n")
}
