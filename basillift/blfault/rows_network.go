package blfault

func networkRows() []row {
	return []row{
		{
			fault:    FaultMessageLoss,
			joining:  "contacts are repeated until the daemon has asked its peers; it ends at the newest version",
			versions: "what was lost is repaired by the probes of the next seconds",
			calls:    "a lost request or answer ends as unknown at its deadline; only idempotent calls are sent again",
			draining: "a lost announcement is repaired by exchanges; calls that still come are refused as not run",
		},
		{
			fault:    FaultOneWayCut,
			joining:  "the daemon joins through peers that can answer it",
			versions: "indirect probes keep the daemon alive; versions reach it over other links",
			calls:    "calls over the cut link end as unknown at their deadline; other targets are used",
			draining: "callers that the announcement cannot reach directly hear it over other links; calls are refused as not run",
		},
		{
			fault:    FaultPartition,
			joining:  "the daemon joins its own side and adopts the newest version there; after healing all hold the newest",
			versions: "the side without the platform keeps its version; after healing the newest is in force everywhere",
			calls:    "calls to the other side end as unknown; targets of the own side are used",
			draining: "the own side stops sending at once, the other side hears of the drain after healing; its calls cannot arrive before",
		},
		{
			fault:    FaultFlappingPartition,
			joining:  "the daemon joins in one of the quiet times; nobody moves back",
			versions: "each contact repairs what the cut delayed; when it ends, all hold the newest version",
			calls:    "as in a partition, for each cut",
			draining: "as in a partition; the record of the drain is exchanged at the first contact",
		},
	}
}

func targetRows() []row {
	beforeFirstVersion := sameText("the daemon serves no calls and its target is not ready before it holds a version", StepJoin, StepFirstVersion, StepRejoining)
	versionSteps := []Step{StepVersionArriving, StepApplying, StepRelaying}
	withVersionSteps := func(texts map[Step]string) map[Step]string {
		for _, s := range versionSteps {
			texts[s] = "versions travel between daemons only; the target has no part in this step"
		}
		return texts
	}
	return []row{
		{
			fault:      FaultTargetDead,
			versions:   "the first failed calls eject the target at each caller; the others are used",
			calls:      "the connection breaks: unknown; only an idempotent call is sent again",
			draining:   "nothing is sent to it any more; the calls in flight end as unknown",
			impossible: withVersionSteps(beforeFirstVersion),
		},
		{
			fault:      FaultTargetHangs,
			versions:   "its calls in flight make it look slow, so that other targets are chosen",
			calls:      "the call ends as unknown at its deadline; only an idempotent call is sent again",
			draining:   "calls in flight are cut when the bound of the drain is over",
			impossible: withVersionSteps(beforeFirstVersion),
		},
		{
			fault:      FaultTargetMisreports,
			versions:   "evidence from calls overrides what the endpoints report",
			calls:      "a target that claims to be healthy and fails is ejected by its callers",
			draining:   "a report of health does not end the drain",
			impossible: withVersionSteps(beforeFirstVersion),
		},
		{
			fault:      FaultCrashingRequest,
			versions:   "the target is ejected while it restarts",
			calls:      "at most 3 targets are lost, then the request is refused as not run",
			draining:   "the crash ends the calls in flight as unknown; the target stays draining",
			impossible: withVersionSteps(beforeFirstVersion),
		},
	}
}
