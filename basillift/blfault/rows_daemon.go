package blfault

func rows() []row {
	return append(append(daemonRows(), platformRows()...), append(networkRows(), targetRows()...)...)
}

func daemonRows() []row {
	killed := row{
		fault:    FaultDaemonKilled,
		joining:  "nothing of the daemon is left; started again it asks its peers first and ends at the newest version",
		versions: "the others declare it dead; a neighbour that missed the version gets it through probes; started again it joins at the newest version",
		calls:    "an idempotent call is sent to another target; a POST fails as unknown and is not sent again",
		draining: "its target gets no calls, since it is dead; started again it announces a higher incarnation and is ready",
		overrides: map[Step]string{
			StepApplying:     "the version is held by nobody else through this daemon; all others get it from the other reader or another neighbour",
			StepCallAdmitted: "the connection breaks: unknown; only an idempotent call is sent again",
		},
	}
	allRestarted := row{
		fault:    FaultAllRestarted,
		joining:  "all daemons know nothing; they find each other within the join wait and adopt what the platform has",
		versions: "no daemon holds a version; each serves again only after it asked its peers, and all end at the platform's newest",
		calls:    "all calls in flight end as unknown; none that may not run twice is sent again",
		draining: "the drain is forgotten with the process; the target is ready again under a higher incarnation",
	}
	return []row{killed, pausedRow(FaultPaused5s, "5 s"), pausedRow(FaultPaused60s, "60 s"), pausedRow(FaultPaused10min, "10 min"), allRestarted}
}

func pausedRow(f Fault, duration string) row {
	return row{
		fault:    f,
		joining:  "after " + duration + " it finds the jump of its clock, raises its incarnation and asks its peers; it ends at the newest version",
		versions: "the others go on without it; after " + duration + " its old messages move nobody back, and it gets the newest version from a peer",
		calls:    "the callers' deadlines pass: unknown; after the pause no call is run whose deadline is over",
		draining: "callers see it draining or dead within the bound; after the pause it is still draining",
	}
}

func platformRows() []row {
	return []row{
		{
			fault:    FaultPlatformDown,
			joining:  "a version that peers hold is adopted from them; without any, the daemon waits for the platform",
			versions: "the version in force stays; a version read before the outage still reaches all",
			calls:    "calls go on by the version in force",
			draining: "the drain travels between daemons and needs no platform",
		},
		{
			fault:    FaultPlatformStale,
			joining:  "the older answer is not adopted while a reachable peer holds a newer version",
			versions: "the version in force stays; the newest is adopted when the platform is current again",
			calls:    "calls go on by the version in force",
			draining: "the drain travels between daemons and needs no platform",
		},
		{
			fault:    FaultPlatformOlder,
			joining:  "an older answer is adopted only when no reachable peer holds a newer version",
			versions: "answers older than the version in force are ignored; all end at the newest",
			calls:    "calls go on by the version in force",
			draining: "the drain travels between daemons and needs no platform",
		},
		{
			fault:    FaultPlatformRestored,
			joining:  "the lower revision is not adopted while a reachable peer holds a higher one",
			versions: "lower revisions are ignored; the edit that raises the epoch is adopted everywhere",
			calls:    "calls go on by the version in force",
			draining: "the drain travels between daemons and needs no platform",
		},
		{
			fault:    FaultInvalidVersion,
			joining:  "the bad version is refused as a whole; the daemon takes the version in force from its peers, or waits for a good one",
			versions: "the bad version is refused as a whole, the version in force stays, and the next good one is adopted",
			calls:    "calls go on by the version in force",
			draining: "a refused version does not touch the drain",
		},
		{
			fault:    FaultConcurrentUpdates,
			joining:  "whichever of two versions comes first, the daemon ends at the newer one",
			versions: "two readers push different versions in any order; nobody moves back and all end at the newer one",
			calls:    "each call is checked against one whole version",
			draining: "versions and the drain do not depend on each other",
		},
		{
			fault:    FaultReadBudgetExhausted,
			joining:  "refused reads are tried again; peers give the version meanwhile",
			versions: "refused reads are tried again with backoff; the version in force stays and the newest arrives later",
			calls:    "calls go on by the version in force",
			draining: "the drain travels between daemons and needs no platform",
		},
	}
}
