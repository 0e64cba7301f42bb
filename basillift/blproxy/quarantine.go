package blproxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
)

// MethodSuspicion is the notification that tells other daemons which requests crashed targets.
const MethodSuspicion = "suspicion"

const (
	// A process that exits closes its sockets one after the other, so the first connection attempt
	// may still succeed. Therefore up to crashProbes attempts are made, probeInterval apart.
	crashProbes   = 3
	probeInterval = 2 * time.Millisecond
)

// quarantine detects requests that crash targets and refuses them.
type quarantine struct {
	mutex      sync.Mutex
	suspicions *blquarantine.SuspicionTable
	inFlight   map[*call]blquarantine.Fingerprint
	probing    chan struct{}
	// active is set once a suspicion is known. Until then calls skip the checks.
	active atomic.Bool
}

func newQuarantine() *quarantine {
	return &quarantine{suspicions: blquarantine.NewSuspicionTable(), inFlight: map[*call]blquarantine.Fingerprint{}}
}

// fingerprintOf computes the fingerprint of a request over the buffered part of its body.
func fingerprintOf(ctx *fasthttp.RequestCtx, k *call, b *body) blquarantine.Fingerprint {
	path := string(ctx.Request.Header.RequestURI())
	return blquarantine.NewFingerprint(k.customer, k.service, k.method, path, b.bytes())
}

// check returns the decision for a request and how long the request must wait because the
// connection to a target just broke during it.
func (q *quarantine) check(now time.Time, fp blquarantine.Fingerprint) (blquarantine.Decision, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspicions.Check(now, fp), q.suspicions.RetryDelay(now, fp)
}

// recordBroken records that the connection to a target broke during a request of this daemon.
func (q *quarantine) recordBroken(now time.Time, fp blquarantine.Fingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.active.Store(true)
	q.suspicions.RecordBrokenCall(now, fp)
}

// start records that a request starts at the target, or refuses it.
func (q *quarantine) start(now time.Time, k *call, fp blquarantine.Fingerprint) *refusal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	switch q.suspicions.Check(now, fp) {
	case blquarantine.DecisionQuarantine:
		return quarantineRefusal()
	case blquarantine.DecisionRunAlone:
		running := make([]blquarantine.Fingerprint, 0, len(q.inFlight))
		for _, o := range q.inFlight {
			running = append(running, o)
		}
		if !q.suspicions.MayRunAlone(now, running) {
			return refuse(basillift.OutcomeNotRun, basillift.ReasonOverload, "Another suspect request is running here.")
		}
	}
	q.inFlight[k] = fp
	return nil
}

func quarantineRefusal() *refusal {
	return refuse(basillift.OutcomeNotRun, basillift.ReasonQuarantined, "The request crashed targets and is stopped for 10 minutes.")
}

// finish records the end of a request at the target and returns the changed suspicions to
// broadcast.
func (q *quarantine) finish(now time.Time, k *call, succeeded bool) []blquarantine.Suspicion {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	fp, ok := q.inFlight[k]
	delete(q.inFlight, k)
	if !ok || !succeeded {
		return nil
	}
	s, changed := q.suspicions.RecordSuccess(now, fp)
	if !changed {
		return nil
	}
	return []blquarantine.Suspicion{s}
}

// recordCrash adds a crash to the suspicions of all requests in flight. It returns the changed
// ones.
func (q *quarantine) recordCrash(now time.Time) []blquarantine.Suspicion {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	running := make([]blquarantine.Fingerprint, 0, len(q.inFlight))
	for _, fp := range q.inFlight {
		running = append(running, fp)
	}
	q.active.Store(true)
	return q.suspicions.RecordCrash(now, running)
}

func (q *quarantine) merge(now time.Time, remote []blquarantine.Suspicion) []blquarantine.Suspicion {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.active.Store(true)
	return q.suspicions.Merge(now, remote)
}

// startProbe returns true if the calling goroutine has to probe the target, or else the channel to
// wait for. All calls that the crash broke wait, so that all of them are still in flight when the
// crash is attributed.
func (q *quarantine) startProbe() (chan struct{}, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.probing != nil {
		return q.probing, false
	}
	q.probing = make(chan struct{})
	return q.probing, true
}

func (q *quarantine) endProbe() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	close(q.probing)
	q.probing = nil
}

// checkForCrash is called when the target broke off a call. A target may close a connection
// deliberately; it crashed only if it also refuses new connections.
func (p *Proxy) checkForCrash() {
	done, first := p.quarantine.startProbe()
	if !first {
		<-done
		return
	}
	if p.targetRefusesConnections() {
		p.recordTargetCrash(time.Now())
	}
	p.quarantine.endProbe()
}

func (p *Proxy) targetRefusesConnections() bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(probeInterval)
		}
		c, err := net.DialTimeout("tcp", p.settings.targetAddress, p.settings.connectTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil {
			_ = c.Close()
		}
	}
	return false
}

func (p *Proxy) recordTargetCrash(now time.Time) {
	changed := p.quarantine.recordCrash(now)
	if p.records(RecordRefused) {
		e := basillift.NewEvent(now, basillift.EventTargetCrashed)
		p.recorder.Record(e.WithDetail(strconv.Itoa(len(changed)) + " requests suspected"))
	}
	p.recordQuarantined(now, changed)
	p.broadcastSuspicions(changed)
}

func (p *Proxy) recordQuarantined(now time.Time, changed []blquarantine.Suspicion) {
	for _, s := range changed {
		decision, _ := p.quarantine.check(now, s.Fingerprint())
		if decision == blquarantine.DecisionQuarantine && p.records(RecordRefused) {
			e := basillift.NewEvent(now, basillift.EventQuarantined)
			p.recorder.Record(e.WithDetail("fingerprint " + s.Fingerprint().String()))
		}
	}
}

// broadcastSuspicions notifies all living members directly. Crashes are rare, so the cost of one
// message to each member is acceptable.
func (p *Proxy) broadcastSuspicions(changed []blquarantine.Suspicion) {
	if len(changed) == 0 {
		return
	}
	var m SuspicionMessage
	for _, s := range changed {
		m.Suspicions = append(m.Suspicions, SuspicionEntry{
			Fingerprint: s.Fingerprint().String(), Crashes: s.Crashes(), Last: s.ChangedAt().UnixMilli(),
		})
	}
	self := p.directory.Self().ID()
	for _, s := range p.directory.Members() {
		if s.Member().ID() != self && s.Liveness() != basillift.LivenessDead {
			p.peers.Notify(s.Member().ID(), MethodSuspicion, m)
		}
	}
}

// HandleSuspicion handles a "suspicion" notification from another daemon.
func (p *Proxy) HandleSuspicion(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	var m SuspicionMessage
	err := json.Unmarshal(params, &m)
	if err != nil {
		return nil, fmt.Errorf("decode suspicion: %w", err)
	}
	remote := make([]blquarantine.Suspicion, 0, len(m.Suspicions))
	for _, s := range m.Suspicions {
		fp, err := strconv.ParseUint(s.Fingerprint, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("decode suspicion: %w", err)
		}
		remote = append(remote, blquarantine.NewSuspicion(blquarantine.Fingerprint(fp), s.Crashes, time.UnixMilli(s.Last)))
	}
	now := time.Now()
	p.recordQuarantined(now, p.quarantine.merge(now, remote))
	return nil, nil
}
