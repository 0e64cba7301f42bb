package blproxy

import (
	"math/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/blroute"
)

// routes holds the target selection, the retry budgets and the hedging state of the caller side. A
// mutex protects them.
type routes struct {
	mutex   sync.Mutex
	rnd     *rand.Rand
	chooser *blroute.Chooser
	budgets map[string]*blretry.Budget
	hedgers map[string]*blroute.Hedger
}

// newRoutes seeds the random choices with the VM and its incarnation: daemons that start together
// must not make the same choices, and a run must be reproducible.
func newRoutes(self basillift.Member) *routes {
	seed := xxhash.Sum64String(string(self.ID())) ^ self.Incarnation()
	rnd := rand.New(rand.NewSource(int64(seed)))
	return &routes{
		rnd:     rnd,
		chooser: blroute.NewChooser(self.Place(), blroute.DefaultSettings(), rnd),
		budgets: map[string]*blretry.Budget{},
		hedgers: map[string]*blroute.Hedger{},
	}
}

// start chooses a target and counts a call to it as in flight.
func (r *routes) start(now time.Time, targets []basillift.Status, tried []basillift.VMID) (basillift.Member, basillift.Reason) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m, reason := r.chooser.Choose(now, targets, tried...)
	if reason == basillift.ReasonNone {
		r.chooser.Started(now, m.ID())
	}
	return m, reason
}

func (r *routes) finished(now time.Time, id basillift.VMID, result blroute.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.chooser.Finished(now, id, result)
}

// recordCall adds a first attempt to the budgets of its service.
func (r *routes) recordCall(now time.Time, service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget(service).RecordCall(now)
	r.hedger(service).Started(now)
}

func (r *routes) decide(now time.Time, service string, a blretry.Attempt) blretry.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(service).Decide(now, a)
}

// budget returns the retry budget of a service. It is called for declared services only, which
// bounds the size of the map.
func (r *routes) budget(service string) *blretry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = blretry.NewBudget(r.rnd)
		r.budgets[service] = b
	}
	return b
}

func (r *routes) hedger(service string) *blroute.Hedger {
	h := r.hedgers[service]
	if h == nil {
		h = blroute.NewHedger()
		r.hedgers[service] = h
	}
	return h
}

// hedgeDelay returns the time after its start at which a call of the service counts as slow.
func (r *routes) hedgeDelay(service string) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hedger(service).Delay()
}

// hedge takes a token from the hedge budget for the second copy of an idempotent call.
func (r *routes) hedge(now time.Time, service string, elapsed time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hedger(service).Hedge(now, elapsed, true, false)
}

// recordLatency records the latency of a call.
func (r *routes) recordLatency(now time.Time, service string, elapsed time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hedger(service).Finished(now, elapsed)
}
