package basillift

// HeaderNames names the headers that callers and targets use. The names are matched without regard to case.
type HeaderNames struct {
	requestID string
	deadline  string
	seal      string
	instance  string
	notRun    string
	caller    string
	ready     string
}

// NewHeaderNames returns a value without names; the With methods set them.
func NewHeaderNames() HeaderNames { return HeaderNames{} }

// WithRequest sets the headers of a request: its id, the milliseconds that the
// caller will wait, the instance that must run it, and the service that calls.
func (d HeaderNames) WithRequest(id, deadline, instance, caller string) HeaderNames {
	d.requestID, d.deadline, d.instance, d.caller = id, deadline, instance, caller
	return d
}

// WithAnswer sets the headers of a target's answer: the proof that the target made
// it, and the statement that the request did not run.
func (d HeaderNames) WithAnswer(seal, notRun string) HeaderNames {
	d.seal, d.notRun = seal, notRun
	return d
}

// WithReady sets the path that answers 200 while the daemon takes requests.
func (d HeaderNames) WithReady(path string) HeaderNames {
	d.ready = path
	return d
}

// RequestID names the header with the request's id; answers echo it.
func (d HeaderNames) RequestID() string { return d.requestID }

// Deadline names the header with the milliseconds that the caller will wait.
func (d HeaderNames) Deadline() string { return d.deadline }

// Seal names the header that proves that a target made an answer.
func (d HeaderNames) Seal() string { return d.seal }

// Instance names the header with the instance that must run the request.
func (d HeaderNames) Instance() string { return d.instance }

// NotRun names the header with which a target states that a request did not run.
func (d HeaderNames) NotRun() string { return d.notRun }

// Caller names the header with the calling service.
func (d HeaderNames) Caller() string { return d.caller }

// ReadyPath is the path that answers 200 while the daemon takes requests.
func (d HeaderNames) ReadyPath() string { return d.ready }
