package labcapacity

import "fmt"

// days prints the load on an ordinary day and in the failures that the design page lists.
func (p *page) days() {
	p.printf("## Days\n\n| day | worked out | what carries it | breaks first beyond this size |\n| --- | --- | --- | --- |\n")
	p.ordinaryDay()
	p.failureDays()
	p.restartDay()
	p.printf("\nFor calls, control adds only the sender's version number to each of the %d calls/s (%.0f for each daemon, whatever the depth of %d);\n"+
		"idempotency claims, quota shares and suspicions of requests were not running in these meshes and are not in the figures.\n\n",
		callsPerSecond, float64(callsPerSecond)/daemonCount, maxCallDepth)
}

func (p *page) ordinaryDay() {
	one, drain, crash, join := p.value(experimentDaemons, "change.one.bytes"), p.value(experimentDaemons, "event.drain.bytes"),
		p.value(experimentDaemons, "event.crash.bytes"), p.value(experimentDaemons, "event.join.bytes")
	bytesPerDay := float64(changesPerDay*2*one) + float64(replacementsPerDay*(drain+crash+join)) + float64(failuresPerDay*(crash+join))
	p.row("ordinary", fmt.Sprintf("%d changes × 2 × %.0f B + %d replaced × (drain %.0f + end %.0f + join %.0f B) + %d failed × (end + join) = %.0f B for each daemon a day, %.1f B/s",
		changesPerDay, one, replacementsPerDay, drain, crash, join, failuresPerDay, bytesPerDay, bytesPerDay/secondsPerDay), "deltas, flooding of changed records", "nothing near: at rest the probes cost more")
}

func (p *page) failureDays() {
	crash := p.value(experimentDaemons, "event.crash.bytes")
	p.row("3 VMs fail", "each is known everywhere after "+p.derivation(experimentDaemons, "event.crash.seconds", "s")+
		"; "+p.derivation(experimentDaemons, "event.crash.bytes", "B")+" for each daemon", "closed sockets, 2 probers, suspicion of 2 s, flooding", "a VM that vanishes without closing sockets adds one probe's timeout; not measured")
	p.row("74 VMs replaced", "drain: "+p.derivation(experimentDaemons, "event.drain.seconds", "s")+" until known everywhere (bound 2 s); join: "+
		p.derivation(experimentDaemons, "event.join.seconds", "s")+" until ready and known everywhere", "flooding; join through peers first", "the records of all members, which a joining daemon takes at once")
	p.row("rack or switch gone", fmt.Sprintf("%d daemons at once, as many single ends: %d × %.0f B = %.0f B for each daemon; the time is that of one end, because all suspicions run together (not measured at this number)",
		daemonsPerRack, daemonsPerRack, crash, daemonsPerRack*crash), "as for single VMs", "both probers of a member gone: its other neighbours find it by re-deriving the ring")
	p.row("failure domain gone", fmt.Sprintf("%d daemons at once: %s until all daemons know; %s for each daemon, worst daemon %s", daemonsPerDomain(), p.derivation(experimentDaemons, "event.domain.seconds", "s"),
		p.derivation(experimentDaemons, "event.domain.bytes", "B"), p.derivation(experimentDaemons, "event.domain.bytes.most", "B")), "heads probe the other heads and the two that follow them", "claims about each dead member flooded one by one")
	p.row("regions parted for an hour and healed", fmt.Sprintf("not measured: a loopback mesh cannot be parted without a hook in the dialling side of blrpc. By arithmetic: %.0f changes come in the hour; each side that sees the platform goes on; the other is within the 64-delta history for 64 changes and takes a full transfer (about 90 KB at %d customers) beyond that",
		changesPerDay/24.0, customerCount), "versions; heads retry dead members every 5 s; exchange of records", "the 64-delta history at more than 64 changes in the hour, which is less than the mean of an ordinary day")
}

func (p *page) restartDay() {
	p.row("full restart", fmt.Sprintf("in force everywhere: %s; all know all: at most %.1f s measured; %s for each daemon, worst daemon %s; memory of a seed as in the bounds above",
		p.derivation(experimentDaemons, "restart.seconds", "s"), p.line(experimentDaemons, "restart.settled.seconds").LargestValue(),
		p.derivation(experimentDaemons, "restart.bytes", "B"), p.derivation(experimentDaemons, "restart.bytes.most", "B")),
		"peers first, 2 readers for each failure domain, at most 4 full transfers at once", "membership: a false belief that a failure domain is cut off lasts up to 15 s in single daemons")
}
