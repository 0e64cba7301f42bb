package labcapacity

import "fmt"

// days prints the days of the design page.
func (p *page) days() {
	p.printf("## Days\n\n| day | worked out | what carries it | what breaks first |\n| --- | --- | --- | --- |\n")
	p.row("ordinary", fmt.Sprintf("%d changes: %.0f B to each daemon, %.0f platform calls; %d VMs fail and %d are replaced: each replaced one takes a full transfer (%.0f B of control in a restart, mean)",
		changes, p.value(overDaemons, "change.one.bytes")*changes, p.changeReads()*changes, failures, replaced, p.value(overDaemons, "restart.bytes")),
		"deltas, peers first", "nothing near")
	p.row("rack or switch gone", fmt.Sprintf("%d daemons: not measured yet", rack), "probes, suspicion, flooding", "")
	p.row("failure domain gone", fmt.Sprintf("%d daemons: not measured yet", each()), "heads probe heads", "")
	p.row("regions parted for an hour and healed", "not measured: a loopback mesh cannot be parted without a hook in the dialling side", "each side keeps reading or holds; heads retry every 5 s", "")
	p.row("full restart", fmt.Sprintf("in force after %.1f s, all known after %.1f s, %.0f platform calls with a peak of %.0f/s, %.0f B of control for each daemon",
		p.value(overDaemons, "restart.seconds"), p.value(overDaemons, "restart.settled.seconds"), p.value(overDaemons, "restart.reads"),
		p.value(overDaemons, "restart.peak"), p.value(overDaemons, "restart.bytes")), "peers first, 2 readers, bounded transfers", "membership: the time until all know all")
	p.printf("\n")
}
