package labcapacity

// causes prints why bounds and goals are missed. The trials that found the causes are in
// docs/measurements.md.
func (p *page) causes() {
	p.printf("## Causes of what is missed or close\n\n")
	before := p.text.Len()
	if p.value(experimentDaemons, "change.one.ratio") > goalDeltaRatio {
		p.printf(`- One-customer change above %.1f times its delta: a push costs 1.07 times the delta, and a tree neighbour that does not
  hold the version from which the push starts gets it in two more messages, a fetch and its answer.
`, goalDeltaRatio)
	}
	if p.readerRestBytesPerSecond()+p.readerChangeBytesPerSecond() > maxControlBytesPerSecond {
		p.printf(`- Bytes of a reader above 10 KB/s: each change of a list returns the value, or the part, in which it is. Smaller parts
  make it less; each part costs one conditional read for each reader and change.
`)
	}
	if p.restCPUPercent() > maxCPUPercent {
		p.printf(`- CPU at rest above 1.2%%: the figure is an upper bound, from one daemon whose probes all fail, so that it buries two members a
  second. The daemons of the largest measured mesh used %.3f%% each at rest.
`, 100*p.line(experimentDaemons, "rest.cpu.each").ValueAtLargestSize())
	}
	if l := p.line(experimentDaemons, "change.one.p99"); p.err == nil && upperEstimate(l) > goalConvergenceMs {
		p.printf("- Convergence above 1 s: the line is weak, and it carries the CPU time of all daemons on shared cores.\n" +
			"  Whether 1,200 daemons on their own VMs keep the goal is not shown by these runs.\n")
	}
	if p.memoryMB(maxConnections) > 0.8*maxMemoryMB {
		p.printf(`- Memory of a seed close to or above 256 MB: each end of a connection holds about %.2f MB of compressor and decompressor state, and
  a daemon accepts up to %d connections. At rest a daemon needs %d.
`, p.connectionMB(), maxConnections, headConnections)
	}
	if p.value(experimentDaemons, "change.burst.bytes.head") > 10*p.value(experimentDaemons, "change.one.bytes.head")*50 {
		p.printf(`- Bytes of a burst: the two readers of each failure domain and the readers of different failure domains see different versions of
  a burst. A head that is asked for a delta from a version that it skipped sends the full snapshot.
`)
	}
	if p.text.Len() == before {
		p.printf("Nothing is missed in these runs.\n")
	}
	p.printf("\n")
}
