package basillift

// Advisory is what a target says about itself in an answer: how many requests it accepts, and that it is
// leaving.
type Advisory struct {
	limited           bool
	requestsPerSecond float64
	leaving           bool
}

// NewAdvisory returns the advisory of an answer that says nothing.
func NewAdvisory() Advisory { return Advisory{} }

// WithRequestLimit returns a copy with the number of requests per second that the target accepts from all VMs together.
func (a Advisory) WithRequestLimit(perSecond float64) Advisory {
	a.limited, a.requestsPerSecond = true, perSecond
	return a
}

// WithLeaving returns a copy that says that the target is leaving.
func (a Advisory) WithLeaving() Advisory {
	a.leaving = true
	return a
}

// Leaving reports whether the target is leaving.
func (a Advisory) Leaving() bool { return a.leaving }

// Empty reports whether the answer says nothing.
func (a Advisory) Empty() bool { return a == Advisory{} }

// RequestLimit is the number of requests per second that the target accepts from all VMs together; false if it names none.
func (a Advisory) RequestLimit() (perSecond float64, limited bool) {
	return a.requestsPerSecond, a.limited
}
