package blfault

// Fault names one thing that goes wrong.
type Fault string

// The faults.
const (
	FaultKilled     Fault = "daemon killed"
	FaultPausedS    Fault = "daemon paused 5 s"
	FaultPausedM    Fault = "daemon paused 60 s"
	FaultPausedL    Fault = "daemon paused 10 min"
	FaultHerd       Fault = "herd restart"
	FaultDown       Fault = "platform down"
	FaultStale      Fault = "platform stale"
	FaultOlder      Fault = "platform answers older"
	FaultBack       Fault = "numbering back"
	FaultBad        Fault = "bad version"
	FaultCrossing   Fault = "updates crossing"
	FaultLoss       Fault = "messages lost"
	FaultOneWay     Fault = "one-way cut"
	FaultPartition  Fault = "partition between failure domains"
	FaultFlapping   Fault = "flapping partition"
	FaultTargetDead Fault = "target dead"
	FaultTargetHang Fault = "target hangs"
	FaultTargetLies Fault = "target lies about health or load"
	FaultCrasher    Fault = "target crashes on a request"
	FaultBudget     Fault = "read budget exhausted"
)

// Step names what a daemon is doing when a fault happens.
type Step string

// The steps.
const (
	StepJoin      Step = "join"
	StepFirst     Step = "first version"
	StepSteady    Step = "steady"
	StepArriving  Step = "version arriving"
	StepApplying  Step = "applying"
	StepRelaying  Step = "relaying"
	StepAdmitted  Step = "call admitted"
	StepSent      Step = "call sent"
	StepAnswering Step = "answering"
	StepDraining  Step = "draining"
	StepRejoining Step = "rejoining"
)

// Steps lists the steps in the order of a daemon's life.
func Steps() []Step {
	return []Step{
		StepJoin, StepFirst, StepSteady, StepArriving, StepApplying, StepRelaying,
		StepAdmitted, StepSent, StepAnswering, StepDraining, StepRejoining,
	}
}

// Verdict says whether a test runs a cell.
type Verdict string

// The verdicts.
const (
	VerdictRun        Verdict = "run"
	VerdictNotRun     Verdict = "not run yet"
	VerdictImpossible Verdict = "cannot occur"
)

// Cell is one fault at one step.
type Cell struct {
	fault    Fault
	step     Step
	verdict  Verdict
	expected string
	promises []int
}

// Fault is what goes wrong.
func (c Cell) Fault() Fault { return c.fault }

// Step is when it goes wrong.
func (c Cell) Step() Step { return c.step }

// Verdict says whether a test runs the cell.
func (c Cell) Verdict() Verdict { return c.verdict }

// Expected is the outcome in words or, for a cell that cannot occur, the reason.
func (c Cell) Expected() string { return c.expected }

// Promises are the numbers of the promises that the fault could break at this step.
func (c Cell) Promises() []int { return c.promises }

// Table returns all cells, by fault and then by step.
func Table() []Cell {
	var cells []Cell
	for _, r := range rows() {
		for _, s := range Steps() {
			cells = append(cells, r.cell(s))
		}
	}
	return cells
}
