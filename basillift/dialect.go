package basillift

// Dialect names the headers that callers and targets use. The names are matched without regard to case.
type Dialect struct {
	requestID string
	deadline  string
	seal      string
	instance  string
	notRun    string
	caller    string
	ready     string
}

// NewDialect returns a dialect without names; the With methods set them.
func NewDialect() Dialect { return Dialect{} }

// WithRequest sets the headers of a request: its id, the milliseconds that the
// caller will wait, the instance that must run it, and the service that calls.
func (d Dialect) WithRequest(id, deadline, instance, caller string) Dialect {
	d.requestID, d.deadline, d.instance, d.caller = id, deadline, instance, caller
	return d
}

// WithAnswer sets the headers of a target's answer: the proof that the target made
// it, and the statement that the request did not run.
func (d Dialect) WithAnswer(seal, notRun string) Dialect {
	d.seal, d.notRun = seal, notRun
	return d
}

// WithReady sets the path that answers 200 while the daemon takes requests.
func (d Dialect) WithReady(path string) Dialect {
	d.ready = path
	return d
}

// RequestID names the header with the request's id; answers echo it.
func (d Dialect) RequestID() string { return d.requestID }

// Deadline names the header with the milliseconds that the caller will wait.
func (d Dialect) Deadline() string { return d.deadline }

// Seal names the header that proves that a target made an answer.
func (d Dialect) Seal() string { return d.seal }

// Instance names the header with the instance that must run the request.
func (d Dialect) Instance() string { return d.instance }

// NotRun names the header with which a target states that a request did not run.
func (d Dialect) NotRun() string { return d.notRun }

// Caller names the header with the calling service.
func (d Dialect) Caller() string { return d.caller }

// Ready is the path that answers 200 while the daemon takes requests.
func (d Dialect) Ready() string { return d.ready }
