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

// MethodSuspicion is the notification that spreads which requests crashed targets.
const MethodSuspicion = "suspicion"

const (
	// crashProbes and probeGap: a process that exits closes its sockets one after
	// the other, so the first connect may still succeed.
	crashProbes = 3
	probeGap    = 2 * time.Millisecond
)

// guard finds requests that crash targets and keeps them away.
type guard struct {
	mutex    sync.Mutex
	board    *blquarantine.SuspicionTable
	inFlight map[*call]blquarantine.Fingerprint
	probing  chan struct{}
	// active is set once a suspicion is known. Until then no call pays for the checks.
	active atomic.Bool
}

func newGuard() *guard {
	return &guard{board: blquarantine.NewSuspicionTable(), inFlight: map[*call]blquarantine.Fingerprint{}}
}

// fingerprintOf covers the buffered part of the body, which is what a fingerprint counts.
func fingerprintOf(ctx *fasthttp.RequestCtx, k *call, b *body) blquarantine.Fingerprint {
	path := string(ctx.Request.Header.RequestURI())
	return blquarantine.NewFingerprint(k.customer, k.service, k.method, path, b.bytes())
}

// check returns the verdict on a request, and how long it has to wait because it just broke a target.
func (g *guard) check(now time.Time, fp blquarantine.Fingerprint) (blquarantine.Decision, time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.board.Check(now, fp), g.board.Hold(now, fp)
}

// broken notes that a target broke under a request of this daemon.
func (g *guard) broken(now time.Time, fp blquarantine.Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active.Store(true)
	g.board.Broken(now, fp)
}

// enter notes that a request starts at the target, or refuses it.
func (g *guard) enter(now time.Time, k *call, fp blquarantine.Fingerprint) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch g.board.Check(now, fp) {
	case blquarantine.DecisionQuarantine:
		return quarantined()
	case blquarantine.DecisionRunAlone:
		running := make([]blquarantine.Fingerprint, 0, len(g.inFlight))
		for _, o := range g.inFlight {
			running = append(running, o)
		}
		if !g.board.Alone(now, running) {
			return refuse(basillift.OutcomeNotRun, basillift.ReasonOverload, "Another suspect request is running here.")
		}
	}
	g.inFlight[k] = fp
	return nil
}

func quarantined() *refusal {
	return refuse(basillift.OutcomeNotRun, basillift.ReasonQuarantined, "The request crashed targets and is stopped for 10 minutes.")
}

// leave notes the end of a request at the target, and returns what is to be spread.
func (g *guard) leave(now time.Time, k *call, well bool) []blquarantine.Suspicion {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	fp, ok := g.inFlight[k]
	delete(g.inFlight, k)
	if !ok || !well {
		return nil
	}
	s, changed := g.board.Cleared(now, fp)
	if !changed {
		return nil
	}
	return []blquarantine.Suspicion{s}
}

// crash puts a crash down to the requests in flight.
func (g *guard) crash(now time.Time) []blquarantine.Suspicion {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	running := make([]blquarantine.Fingerprint, 0, len(g.inFlight))
	for _, fp := range g.inFlight {
		running = append(running, fp)
	}
	g.active.Store(true)
	return g.board.Crash(now, running)
}

func (g *guard) merge(now time.Time, remote []blquarantine.Suspicion) []blquarantine.Suspicion {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active.Store(true)
	return g.board.Merge(now, remote)
}

// startProbe reports whether the caller of it has to probe, or else what to wait
// for. All calls that a crash broke wait, so that all are in flight when it is judged.
func (g *guard) startProbe() (chan struct{}, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.probing != nil {
		return g.probing, false
	}
	g.probing = make(chan struct{})
	return g.probing, true
}

func (g *guard) endProbe() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.probing)
	g.probing = nil
}

// suspectCrash is called when the target broke off a call. A broken connection
// alone may be the target's decision; if it also refuses connections, it crashed.
func (p *Proxy) suspectCrash() {
	done, mine := p.guard.startProbe()
	if !mine {
		<-done
		return
	}
	if p.refusesConnections() {
		p.judgeCrash(time.Now())
	}
	p.guard.endProbe()
}

func (p *Proxy) refusesConnections() bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(probeGap)
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

func (p *Proxy) judgeCrash(now time.Time) {
	changed := p.guard.crash(now)
	if p.records(RecordRefused) {
		e := basillift.NewEvent(now, basillift.EventTargetCrashed)
		p.recorder.Record(e.WithDetail(strconv.Itoa(len(changed)) + " requests suspected"))
	}
	p.noteQuarantined(now, changed)
	p.spread(changed)
}

func (p *Proxy) noteQuarantined(now time.Time, changed []blquarantine.Suspicion) {
	for _, s := range changed {
		verdict, _ := p.guard.check(now, s.Fingerprint())
		if verdict == blquarantine.DecisionQuarantine && p.records(RecordRefused) {
			e := basillift.NewEvent(now, basillift.EventQuarantined)
			p.recorder.Record(e.WithDetail("fingerprint " + hex(s.Fingerprint())))
		}
	}
}

func hex(fp blquarantine.Fingerprint) string { return strconv.FormatUint(uint64(fp), 16) }

// spread tells all members. Crashes are rare, so each is told directly.
func (p *Proxy) spread(changed []blquarantine.Suspicion) {
	if len(changed) == 0 {
		return
	}
	var m SuspicionMessage
	for _, s := range changed {
		m.Suspicions = append(m.Suspicions, SuspicionEntry{
			Fingerprint: hex(s.Fingerprint()), Crashes: s.Crashes(), Last: s.Last().UnixMilli(),
		})
	}
	self := p.directory.Self().ID()
	for _, s := range p.directory.Members() {
		if s.Member().ID() != self && s.Liveness() != basillift.LivenessDead {
			p.peers.Notify(s.Member().ID(), MethodSuspicion, m)
		}
	}
}

// HandleSuspicion takes a "suspicion" notification of another daemon.
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
	p.noteQuarantined(now, p.guard.merge(now, remote))
	return nil, nil
}
