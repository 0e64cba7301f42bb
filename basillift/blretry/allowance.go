package blretry

import (
	"sync"
	"time"
)

const (
	// allowanceShare is the part of the mesh's ratio of repeats that the daemons use themselves. The rest
	// is for the calls of runs that were repeats, which count as repeats too.
	allowanceShare = 0.5
	// allowanceStart is the part of its fixed share that a daemon holds after its
	// start, so that restarts do not multiply the mesh's allowance.
	allowanceStart = 0.25
)

// Allowance keeps the repeats of all daemons within a share of the requests plus a
// fixed number, for each service and in every window, without shared state: each
// daemon earns a part of a repeat with each request, and saves at most its equal
// share of the fixed number. It is safe for concurrent use.
type Allowance struct {
	ratio    float64
	fixed    float64
	mutex    sync.Mutex
	services map[string]float64
}

// NewAllowance returns the allowance of a mesh in which repeats may be ratio times
// the requests plus a fixed number.
func NewAllowance(ratio float64, fixed int) *Allowance {
	return &Allowance{ratio: ratio, fixed: float64(fixed), services: make(map[string]float64)}
}

// SetTerms changes the ratio and the fixed number.
func (a *Allowance) SetTerms(ratio float64, fixed int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ratio, a.fixed = ratio, float64(fixed)
}

// Requested notes a request for a service; machines is the number of daemons that share the fixed number.
func (a *Allowance) Requested(_ time.Time, service string, machines int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.services[service] = min(a.most(machines), a.balance(service, machines)+a.ratio*allowanceShare)
}

// Take takes one repeat, and reports false if there is none left.
func (a *Allowance) Take(_ time.Time, service string, machines int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	balance := a.balance(service, machines)
	if balance < 1 {
		return false
	}
	a.services[service] = balance - 1
	return true
}

func (a *Allowance) balance(service string, machines int) float64 {
	balance, known := a.services[service]
	if !known {
		balance = max(1, a.most(machines)*allowanceStart)
	}
	return balance
}

// most is what a daemon may save: half of its equal share, so that a window that
// begins with full savings stays within the fixed number.
func (a *Allowance) most(machines int) float64 { return max(1, a.fixed/float64(2*machines)) }
