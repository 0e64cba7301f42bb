package basillift

// HeaderNames holds the names of the headers that callers and targets use, and the path of the readiness check. Header
// names are matched without regard to case.
type HeaderNames struct {
	requestID string
	deadline  string
	seal      string
	instance  string
	notRun    string
	caller    string
	limit     string
	leaving   string
	cold      string
	answering string
	readyPath string
}

// NewHeaderNames returns a HeaderNames without any names; the With methods set them.
func NewHeaderNames() HeaderNames { return HeaderNames{} }

// WithRequest sets the headers of a request: its id, the milliseconds that the
// caller will wait, the target instance that must run it, and the calling service.
func (h HeaderNames) WithRequest(id, deadline, instance, caller string) HeaderNames {
	h.requestID, h.deadline, h.instance, h.caller = id, deadline, instance, caller
	return h
}

// WithAnswer sets the headers of a target's answer: seal proves that the target created
// the answer, and notRun states that the request did not run.
func (h HeaderNames) WithAnswer(seal, notRun string) HeaderNames {
	h.seal, h.notRun = seal, notRun
	return h
}

// WithAdvisory sets the headers with which a target limits the requests that it gets, and says that it is leaving.
func (h HeaderNames) WithAdvisory(limit, leaving string) HeaderNames {
	h.limit, h.leaving = limit, leaving
	return h
}

// WithHealth sets the headers of a target's answer to a health check: the milliseconds for which it stays cold, and its
// instance.
func (h HeaderNames) WithHealth(cold, answering string) HeaderNames {
	h.cold, h.answering = cold, answering
	return h
}

// WithReady sets the path that answers 200 while the daemon takes requests.
func (h HeaderNames) WithReady(path string) HeaderNames {
	h.readyPath = path
	return h
}

// RequestID names the header with the request's id; answers echo it.
func (h HeaderNames) RequestID() string { return h.requestID }

// Deadline names the header with the milliseconds that the caller will wait.
func (h HeaderNames) Deadline() string { return h.deadline }

// Seal names the header that proves that a target created an answer.
func (h HeaderNames) Seal() string { return h.seal }

// Instance names the header with the target instance that must run the request.
func (h HeaderNames) Instance() string { return h.instance }

// NotRun names the header with which a target states that a request did not run.
func (h HeaderNames) NotRun() string { return h.notRun }

// Caller names the header with the name of the calling service.
func (h HeaderNames) Caller() string { return h.caller }

// Limit names the header with the number of requests per second that a target accepts from all VMs together.
func (h HeaderNames) Limit() string { return h.limit }

// Leaving names the header with the value 1 in the answers of a target that is leaving.
func (h HeaderNames) Leaving() string { return h.leaving }

// Cold names the header with the milliseconds for which a target stays cold.
func (h HeaderNames) Cold() string { return h.cold }

// AnsweringInstance names the header with the instance that answered a health check.
func (h HeaderNames) AnsweringInstance() string { return h.answering }

// ReadyPath is the path that answers 200 while the daemon takes requests.
func (h HeaderNames) ReadyPath() string { return h.readyPath }
