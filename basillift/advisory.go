package basillift

// Advisory is what a target says about itself in an answer: how many requests it accepts.
type Advisory struct {
	limited           bool
	requestsPerSecond float64
}

// NewAdvisory returns the advisory of an answer that says nothing.
func NewAdvisory() Advisory { return Advisory{} }

// WithRequestLimit returns a copy with the number of requests per second that the target accepts from all VMs together.
func (a Advisory) WithRequestLimit(perSecond float64) Advisory {
	a.limited, a.requestsPerSecond = true, perSecond
	return a
}

// RequestLimit is the number of requests per second that the target accepts from all VMs together; false if it names none.
func (a Advisory) RequestLimit() (perSecond float64, limited bool) {
	return a.requestsPerSecond, a.limited
}
