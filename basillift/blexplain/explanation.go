// Package blexplain holds the form in which a daemon that routes by table explains to operators where a request would go.
//
// # Usage
//
//	query := blexplain.NewQuery("shop.example", "/browse/7").WithBytes(2000).WithDeadline(400 * time.Millisecond)
//	explanation := forwarder.Explain(now, query)
package blexplain

import "time"

// Query describes a request that is explained and not sent.
type Query struct {
	host, path string
	bytes      int
	deadline   time.Duration
}

// NewQuery describes a request without a body and without a deadline of its caller.
func NewQuery(host, path string) Query { return Query{host: host, path: path} }

// WithBytes sets the size of the request's body.
func (q Query) WithBytes(n int) Query {
	q.bytes = n
	return q
}

// WithDeadline sets how long the caller waits; 0 if it does not say so.
func (q Query) WithDeadline(d time.Duration) Query {
	q.deadline = d
	return q
}

// Host is the host of the request.
func (q Query) Host() string { return q.host }

// Path is the path of the request.
func (q Query) Path() string { return q.path }

// Bytes is the size of the request's body.
func (q Query) Bytes() int { return q.bytes }

// Deadline is how long the caller waits; 0 if it does not say so.
func (q Query) Deadline() time.Duration { return q.deadline }

// Action is what would happen to a request.
type Action string

// The actions.
const (
	// ActionSend means that the request is sent to another daemon, which decides whether it runs.
	ActionSend Action = "send"
	// ActionRun means that the VM's own target runs the request at once.
	ActionRun Action = "run"
	// ActionWait means that the request waits for the VM's own target.
	ActionWait Action = "wait"
	// ActionRefuse means that the request gets the answer of this daemon.
	ActionRefuse Action = "refuse"
)

// Explanation says where a request would go and why. Texts are for operators, the first line is the decision.
type Explanation struct {
	Action Action `json:"action"`
	// Target and Domain are where the request goes.
	Target string `json:"target,omitempty"`
	Domain string `json:"domain,omitempty"`
	// Status, Reason and Retry, in seconds, are the answer to a refused request.
	Status  int     `json:"status,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	Retry   float64 `json:"retry,omitempty"`
	Route   string  `json:"route,omitempty"`
	Service string  `json:"service,omitempty"`
	// Targets are those of the service, first the candidates, the cheapest first.
	Targets []Target `json:"targets"`
	Lines   []string `json:"lines"`
}

// Target is a target of the service with its cost for the request in parts.
type Target struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	// Status is usable, paused, leaving, tried or evacuated. Candidate is set if the request may be sent to the target.
	Status    string `json:"status"`
	Candidate bool   `json:"candidate"`
	// Cost is the sum of Failures, Utilization, Bytes, Late and Response.
	Cost        float64 `json:"cost"`
	Failures    float64 `json:"failures"`
	Utilization float64 `json:"utilization"`
	Bytes       float64 `json:"bytes"`
	Late        float64 `json:"late"`
	Response    float64 `json:"response"`
	// Probability is that of an answer after the soft deadline, Expected the expected response time in seconds.
	Probability float64 `json:"probability"`
	Expected    float64 `json:"expected"`
	// Cold and Limit are requests per second: of a cold target, and that the target accepts. They are nil without a limit.
	Cold  *float64 `json:"cold,omitempty"`
	Limit *float64 `json:"limit,omitempty"`
}
