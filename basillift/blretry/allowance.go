package blretry

import (
	"math"
	"math/rand"
	"sync"
	"time"
)

const (
	// earnedShare is the share of the mesh's retry ratio that daemons earn with requests. It is below 1 for two
	// reasons: retries that are saved from the requests of up to a fifth of a window may be spent in a window that
	// began later, and some calls that retried requests make are not recognized as such, because the parent of a
	// call is known only by likelihood.
	earnedShare = 0.6
	// initialShare is the share of its fixed retries that a daemon holds after its start. It is below 1 so that
	// restarts do not multiply the mesh's allowance.
	initialShare = 0.25
	// recentDecayTime is the time constant of the decay of the recent requests, which bound the saved retries. It is
	// a fifth of the window of 10 s in which the bound must hold.
	recentDecayTime = 2 * time.Second
	// maxServices bounds the number of services with a balance.
	maxServices = 4096
)

// Allowance keeps the retries of all daemons within a share of the requests plus a fixed number, for each service and
// in every window, without shared state. Each daemon earns a fraction of a retry with each request. It saves at most
// its share of the fixed number plus what recent requests earned. A balance below one retry permits a retry with that
// probability, so that any number of daemons keeps the bound together. Calls that a retried request makes count as
// retries too and are charged. It is safe for concurrent use.
type Allowance struct {
	ratio    float64
	fixed    float64
	mutex    sync.Mutex
	rnd      *rand.Rand
	services map[string]*serviceBalance
}

// serviceBalance is the number of retries that one daemon may still send to one service.
type serviceBalance struct {
	balance float64
	// recentRequests is the number of requests, with exponential decay over recentDecayTime.
	recentRequests float64
	updatedAt      time.Time
}

// NewAllowance returns the allowance of a daemon in a mesh whose retries may be at most ratio times the requests plus
// a fixed number, in each window.
func NewAllowance(ratio float64, fixed int, rnd *rand.Rand) *Allowance {
	return &Allowance{ratio: ratio, fixed: float64(fixed), rnd: rnd, services: make(map[string]*serviceBalance)}
}

// SetLimits changes the ratio and the fixed number. Balances are capped at the new limits when they are next used.
func (a *Allowance) SetLimits(ratio float64, fixed int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ratio, a.fixed = ratio, float64(fixed)
}

// RecordRequest records a request for a service. The retry probability, from 0 to 1, says how likely a retried request
// made it; daemons is the number of daemons that share the fixed number.
func (a *Allowance) RecordRequest(now time.Time, service string, daemons int, retryProbability float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.serviceBalance(now, service, daemons)
	s.recentRequests++
	s.balance = min(s.balance+a.earnedRetries(1), a.maxBalance(s, daemons)) - retryProbability
}

// Take takes one retry from the allowance of a service and reports whether there was one left.
func (a *Allowance) Take(now time.Time, service string, daemons int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.serviceBalance(now, service, daemons)
	s.balance = min(s.balance, a.maxBalance(s, daemons))
	if s.balance < 1 && a.rnd.Float64() >= s.balance {
		return false
	}
	s.balance--
	return true
}

// serviceBalance returns the balance of a service, with recentRequests decayed until now.
func (a *Allowance) serviceBalance(now time.Time, service string, daemons int) *serviceBalance {
	s := a.services[service]
	if s == nil {
		if len(a.services) >= maxServices {
			clear(a.services)
		}
		s = &serviceBalance{balance: a.fixedShare(daemons) * initialShare, updatedAt: now}
		a.services[service] = s
	}
	s.recentRequests *= math.Exp(-max(0, now.Sub(s.updatedAt).Seconds()) / recentDecayTime.Seconds())
	s.updatedAt = now
	return s
}

func (a *Allowance) earnedRetries(requests float64) float64 { return a.ratio * earnedShare * requests }

// fixedShare returns half of a daemon's equal share of the fixed number, so that a window that begins with a full
// balance stays within the fixed number.
func (a *Allowance) fixedShare(daemons int) float64 { return a.fixed / float64(2*max(1, daemons)) }

// maxBalance returns the number of retries that a daemon may save for a service.
func (a *Allowance) maxBalance(s *serviceBalance, daemons int) float64 {
	return a.fixedShare(daemons) + a.earnedRetries(s.recentRequests)
}
