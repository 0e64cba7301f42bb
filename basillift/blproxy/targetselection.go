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

// targetSelection chooses the targets of the caller side's calls. It also holds the retry budget and
// the hedging state of each service. A mutex protects them.
type targetSelection struct {
	mutex   sync.Mutex
	rnd     *rand.Rand
	chooser *blroute.Chooser
	budgets map[string]*blretry.Budget
	hedgers map[string]*blroute.Hedger
}

// newTargetSelection seeds the random choices with the VM and its incarnation: daemons that start
// together must not make the same choices, and a run must be reproducible.
func newTargetSelection(self basillift.Member) *targetSelection {
	seed := xxhash.Sum64String(string(self.ID())) ^ self.Incarnation()
	rnd := rand.New(rand.NewSource(int64(seed)))
	return &targetSelection{
		rnd:     rnd,
		chooser: blroute.NewChooser(self.Place(), blroute.DefaultSettings(), rnd),
		budgets: map[string]*blretry.Budget{},
		hedgers: map[string]*blroute.Hedger{},
	}
}

// start chooses a target and counts a call to it as in flight.
func (ts *targetSelection) start(now time.Time, targets []basillift.Status, tried []basillift.VMID) (basillift.Member, basillift.Reason) {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	m, reason := ts.chooser.Choose(now, targets, tried...)
	if reason == basillift.ReasonNone {
		ts.chooser.Started(now, m.ID())
	}
	return m, reason
}

func (ts *targetSelection) finished(now time.Time, id basillift.VMID, result blroute.Result) {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	ts.chooser.Finished(now, id, result)
}

// recordCall adds a first attempt to the budgets of its service.
func (ts *targetSelection) recordCall(now time.Time, service string) {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	ts.budget(service).RecordCall(now)
	ts.hedger(service).Started(now)
}

func (ts *targetSelection) decide(now time.Time, service string, a blretry.Attempt) blretry.Decision {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	return ts.budget(service).Decide(now, a)
}

// budget returns the retry budget of a service. It is called for declared services only, which
// bounds the size of the map.
func (ts *targetSelection) budget(service string) *blretry.Budget {
	b := ts.budgets[service]
	if b == nil {
		b = blretry.NewBudget(ts.rnd)
		ts.budgets[service] = b
	}
	return b
}

func (ts *targetSelection) hedger(service string) *blroute.Hedger {
	h := ts.hedgers[service]
	if h == nil {
		h = blroute.NewHedger()
		ts.hedgers[service] = h
	}
	return h
}

// hedgeDelay returns the time after its start at which a call of the service counts as slow.
func (ts *targetSelection) hedgeDelay(service string) (time.Duration, bool) {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	return ts.hedger(service).Delay()
}

// hedge takes a token from the hedge budget for the second copy of an idempotent call.
func (ts *targetSelection) hedge(now time.Time, service string, elapsed time.Duration) bool {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	return ts.hedger(service).Hedge(now, elapsed, true, false)
}

// recordLatency records the latency of a call.
func (ts *targetSelection) recordLatency(now time.Time, service string, elapsed time.Duration) {
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	ts.hedger(service).Finished(now, elapsed)
}
