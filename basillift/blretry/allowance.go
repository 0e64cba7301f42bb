package blretry

import (
	"math"
	"math/rand"
	"sync"
	"time"
)

const (
	// allowanceShare is the part of the mesh's ratio that daemons earn. What they save from requests of the last
	// moments may be spent in a window that began later, a fifth of it. The rest is for calls of repeats that are not
	// told from others: a parent is known by likelihood only.
	allowanceShare = 0.6
	// allowanceStart is the part of its fixed share that a daemon holds after its start, so that restarts do not
	// multiply the mesh's allowance.
	allowanceStart = 0.25
	// savedFor is for how long requests count for what a daemon may save: a fifth of the users' window.
	savedFor = 2 * time.Second
	// servicesMost bounds how many services have an allowance of their own.
	servicesMost = 4096
)

// Allowance keeps the repeats of all daemons within a share of the requests plus a
// fixed number, for each service and in every window, without shared state. Each daemon earns a part of a
// repeat with each request, and saves no more than its equal share of the fixed number and what the last moments
// earned. Less than a whole repeat is a chance of one, so that any number of daemons keeps the bound together. Calls of
// runs that are repeats themselves are repeats too and are charged. It is safe for concurrent use.
type Allowance struct {
	ratio    float64
	fixed    float64
	mutex    sync.Mutex
	rnd      *rand.Rand
	services map[string]*account
}

// account is the allowance of one daemon for one service.
type account struct {
	balance float64
	// recent is the number of requests, which decays within savedFor.
	recent  float64
	counted time.Time
}

// NewAllowance returns the allowance of a mesh in which repeats may be ratio times
// the requests plus a fixed number.
func NewAllowance(ratio float64, fixed int, rnd *rand.Rand) *Allowance {
	return &Allowance{ratio: ratio, fixed: float64(fixed), rnd: rnd, services: make(map[string]*account)}
}

// SetLimits changes the ratio and the fixed number.
func (a *Allowance) SetLimits(ratio float64, fixed int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ratio, a.fixed = ratio, float64(fixed)
}

// RecordRequest notes a request for a service, and how likely it is that a repeat has made it, from 0 to 1; machines is
// the number of daemons that share the fixed number.
func (a *Allowance) RecordRequest(now time.Time, service string, machines int, repeat float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.account(now, service, machines)
	s.recent++
	s.balance = min(s.balance+a.earned(1), a.most(s, machines)) - repeat
}

// Take takes one repeat, and reports false if there is none left.
func (a *Allowance) Take(now time.Time, service string, machines int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.account(now, service, machines)
	s.balance = min(s.balance, a.most(s, machines))
	if s.balance < 1 && a.rnd.Float64() >= s.balance {
		return false
	}
	s.balance--
	return true
}

// account returns the account of a service as of now.
func (a *Allowance) account(now time.Time, service string, machines int) *account {
	s := a.services[service]
	if s == nil {
		if len(a.services) >= servicesMost {
			clear(a.services)
		}
		s = &account{balance: a.fixedShare(machines) * allowanceStart, counted: now}
		a.services[service] = s
	}
	s.recent *= math.Exp(-max(0, now.Sub(s.counted).Seconds()) / savedFor.Seconds())
	s.counted = now
	return s
}

func (a *Allowance) earned(requests float64) float64 { return a.ratio * allowanceShare * requests }

// fixedShare is half of a daemon's equal share of the fixed number, so that a window that
// begins with full savings stays within it.
func (a *Allowance) fixedShare(machines int) float64 { return a.fixed / float64(2*max(1, machines)) }

// most is what a daemon may save.
func (a *Allowance) most(s *account, machines int) float64 {
	return a.fixedShare(machines) + a.earned(s.recent)
}
