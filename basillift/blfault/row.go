package blfault

import "slices"

// row holds the outcomes of one fault. Steps that share a phase share the outcome unless
// the row names the step.
type row struct {
	fault      Fault
	entering   string // join, first version, rejoining
	versions   string // steady, version arriving, applying, relaying
	calls      string // call admitted, call sent, answering
	draining   string
	special    map[Step]string
	impossible map[Step]string
	unrun      []Step
}

func (r row) cell(s Step) Cell {
	c := Cell{fault: r.fault, step: s, verdict: VerdictRun, expected: r.outcome(s)}
	if why, found := r.impossible[s]; found {
		c.verdict, c.expected = VerdictImpossible, why
		return c
	}
	c.promises = endangered(s)
	if slices.Contains(r.unrun, s) {
		c.verdict = VerdictNotRun
	}
	return c
}

func (r row) outcome(s Step) string {
	if text, found := r.special[s]; found {
		return text
	}
	switch s {
	case StepJoin, StepFirst, StepRejoining:
		return r.entering
	case StepAdmitted, StepSent, StepAnswering:
		return r.calls
	case StepDraining:
		return r.draining
	default:
		return r.versions
	}
}

// endangered returns the promises that a fault at a step could break.
func endangered(s Step) []int {
	switch s {
	case StepJoin, StepFirst, StepRejoining:
		return []int{1, 2, 3, 9}
	case StepAdmitted, StepSent:
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

// at gives several steps the same text.
func at(text string, steps ...Step) map[Step]string {
	texts := make(map[Step]string, len(steps))
	for _, s := range steps {
		texts[s] = text
	}
	return texts
}
