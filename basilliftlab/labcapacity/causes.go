package labcapacity

// causes names why bounds and goals are missed. The trials that found the causes are in
// docs/measurements.md.
func (p *page) causes() {
	p.printf("## Causes of what is missed or close\n\n")
	before := p.text.Len()
	if p.value(overDaemons, "change.one.ratio") > boundRatio {
		p.printf(`- One-customer change above %.1f times its delta: a push costs 1.07 times the delta, and a tree neighbour that does not
  hold the version from which the push starts gets it in two more messages, a fetch and its answer.
`, boundRatio)
	}
	if p.readerRest()+p.readerChanges() > boundTraffic {
		p.printf(`- Bytes of a reader above 10 KB/s: each change of a list returns the value, or the part, in which it is. Smaller parts
  make it less; each part costs one conditional read for each reader and change.
`)
	}
	if p.restCPU() > boundCPU {
		p.printf(`- CPU at rest above 1.2%%: the figure is an upper bound, from one daemon whose probes all fail, so that it buries two members a
  second. The daemons of the largest measured mesh used %.3f%% each at rest.
`, 100*p.line(overDaemons, "rest.cpu.each").Last())
	}
	if l := p.line(overDaemons, "change.one.p99"); p.err == nil && worse(l) > goalConvergence {
		p.printf("- Convergence above 1 s: the line is weak, and it carries the CPU time of all daemons on shared cores.\n" +
			"  Whether 1,200 daemons on their own VMs keep the goal is not shown by these runs.\n")
	}
	if p.memory(links) > 0.8*boundMemory {
		p.printf(`- Memory of a seed close to or above 256 MB: each end of a connection holds about %.2f MB of compressor and decompressor state, and
  a daemon accepts up to %d connections. At rest a daemon needs %d.
`, p.streamMemory(), links, connections)
	}
	if p.value(overDaemons, "change.burst.bytes.head") > 10*p.value(overDaemons, "change.one.bytes.head")*50 {
		p.printf(`- Bytes of a burst: the two readers of each failure domain and the readers of different failure domains see different versions of
  a burst. A head that is asked for a delta from a version that it skipped sends the full snapshot.
`)
	}
	if p.text.Len() == before {
		p.printf("Nothing is missed in these runs.\n")
	}
	p.printf("\n")
}
