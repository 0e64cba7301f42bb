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

// routes guards the choice of targets and the retry budgets of the caller side.
type routes struct {
	mutex   sync.Mutex
	rnd     *rand.Rand
	chooser *blroute.Chooser
	budgets map[string]*blretry.Budget
	hedgers map[string]*blroute.Hedger
}

// newRoutes seeds the random choices by the VM and its incarnation: daemons that
// start together must not choose alike, and a run can be repeated.
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

// start chooses a target and notes that a call goes there.
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

// called adds a first attempt to the budgets of its service.
func (r *routes) called(now time.Time, service string) {
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

// budget is asked for declared services only, so their number bounds the map.
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

// hedgeDelay is how long after its start a call of the service counts as slow.
func (r *routes) hedgeDelay(service string) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hedger(service).Delay()
}

// hedge takes a token for the second copy of an idempotent call.
func (r *routes) hedge(now time.Time, service string, elapsed time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hedger(service).Hedge(now, elapsed, true, false)
}

// answered notes the latency of a call.
func (r *routes) answered(now time.Time, service string, elapsed time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hedger(service).Finished(now, elapsed)
}
