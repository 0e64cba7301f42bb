package blfault

import "slices"

// row holds the expected outcomes of one fault. Steps of the same phase share the outcome
// unless overrides or impossible has an entry for the step.
type row struct {
	fault      Fault
	joining    string // join, first version, rejoining
	versions   string // steady, version arriving, applying, relaying
	calls      string // call admitted, call sent, answering
	draining   string
	overrides  map[Step]string // replaces the outcome of the phase
	impossible map[Step]string // the reason why the fault cannot occur at the step
	notRun     []Step
}

func (r row) cell(s Step) Cell {
	c := Cell{fault: r.fault, step: s, coverage: CoverageRun, expected: r.outcome(s)}
	if reason, found := r.impossible[s]; found {
		c.coverage, c.expected = CoverageImpossible, reason
		return c
	}
	c.promises = promisesAtRisk(s)
	if slices.Contains(r.notRun, s) {
		c.coverage = CoverageNotRun
	}
	return c
}

func (r row) outcome(s Step) string {
	if text, found := r.overrides[s]; found {
		return text
	}
	switch s {
	case StepJoin, StepFirstVersion, StepRejoining:
		return r.joining
	case StepCallAdmitted, StepCallSent, StepAnswering:
		return r.calls
	case StepDraining:
		return r.draining
	default:
		return r.versions
	}
}

// promisesAtRisk returns the numbers of the promises that a fault at the step could break.
func promisesAtRisk(s Step) []int {
	switch s {
	case StepJoin, StepFirstVersion, StepRejoining:
		return []int{1, 2, 3, 9}
	case StepCallAdmitted, StepCallSent:
		return []int{5, 6}
	case StepAnswering:
		return []int{4, 5, 6}
	case StepDraining:
		return []int{5, 6, 7, 8}
	case StepSteady:
		return []int{1, 9}
	default:
		return []int{1, 3, 9}
	}
}

// sameText maps each step to the same text.
func sameText(text string, steps ...Step) map[Step]string {
	texts := make(map[Step]string, len(steps))
	for _, s := range steps {
		texts[s] = text
	}
	return texts
}
