package blfault

// Fault is the name of a kind of fault.
type Fault string

// The faults.
const (
	FaultDaemonKilled        Fault = "daemon killed"
	FaultPaused5s            Fault = "daemon paused 5 s"
	FaultPaused60s           Fault = "daemon paused 60 s"
	FaultPaused10min         Fault = "daemon paused 10 min"
	FaultAllRestarted        Fault = "herd restart"
	FaultPlatformDown        Fault = "platform down"
	FaultPlatformStale       Fault = "platform stale"
	FaultPlatformOlder       Fault = "platform answers older"
	FaultPlatformRestored    Fault = "numbering back"
	FaultInvalidVersion      Fault = "bad version"
	FaultConcurrentUpdates   Fault = "updates crossing"
	FaultMessageLoss         Fault = "messages lost"
	FaultOneWayCut           Fault = "one-way cut"
	FaultPartition           Fault = "partition between failure domains"
	FaultFlappingPartition   Fault = "flapping partition"
	FaultTargetDead          Fault = "target dead"
	FaultTargetHangs         Fault = "target hangs"
	FaultTargetMisreports    Fault = "target lies about health or load"
	FaultCrashingRequest     Fault = "target crashes on a request"
	FaultReadBudgetExhausted Fault = "read budget exhausted"
)

// Step is the name of what a daemon is doing when a fault happens.
type Step string

// The steps.
const (
	StepJoin            Step = "join"
	StepFirstVersion    Step = "first version"
	StepSteady          Step = "steady"
	StepVersionArriving Step = "version arriving"
	StepApplying        Step = "applying"
	StepRelaying        Step = "relaying"
	StepCallAdmitted    Step = "call admitted"
	StepCallSent        Step = "call sent"
	StepAnswering       Step = "answering"
	StepDraining        Step = "draining"
	StepRejoining       Step = "rejoining"
)

// Steps returns the steps in the order of a daemon's life cycle.
func Steps() []Step {
	return []Step{
		StepJoin, StepFirstVersion, StepSteady, StepVersionArriving, StepApplying, StepRelaying,
		StepCallAdmitted, StepCallSent, StepAnswering, StepDraining, StepRejoining,
	}
}

// Coverage says whether a test runs a cell.
type Coverage string

// The values of Coverage.
const (
	CoverageRun        Coverage = "run"
	CoverageNotRun     Coverage = "not run yet"
	CoverageImpossible Coverage = "cannot occur"
)

// Cell is the combination of one fault and one step.
type Cell struct {
	fault    Fault
	step     Step
	coverage Coverage
	expected string
	promises []int
}

// Fault is the fault that happens.
func (c Cell) Fault() Fault { return c.fault }

// Step is the step at which the fault happens.
func (c Cell) Step() Step { return c.step }

// Coverage says whether a test runs the cell.
func (c Cell) Coverage() Coverage { return c.coverage }

// Expected describes the expected outcome or, for a cell that cannot occur, the reason.
func (c Cell) Expected() string { return c.expected }

// Promises are the numbers of the promises that the fault could break at this step.
func (c Cell) Promises() []int { return c.promises }

// Table returns all cells, ordered by fault and then by step.
func Table() []Cell {
	var cells []Cell
	for _, r := range rows() {
		for _, s := range Steps() {
			cells = append(cells, r.cell(s))
		}
	}
	return cells
}
