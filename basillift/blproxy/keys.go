package blproxy

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blidempotency"
)

const (
	// claimTimeout bounds the wait for an owner; a dead one would use up the deadline.
	claimTimeout = time.Second
	// rosterStable is how long the member list must not change before a daemon that
	// got no roster from a peer takes it as its first one. Daemons that start
	// together would otherwise each begin with a different part of the mesh.
	rosterStable = 5 * time.Second
	// rosterLeast is the number of members below which no key has a quorum.
	rosterLeast = 2
)

// keyLedger is this daemon's part of the ledger: the keys that it owns, and its list of owners.
type keyLedger struct {
	mutex      sync.Mutex
	book       *blidempotency.ClaimStore
	roster     *blidempotency.OwnerSelector
	generation uint64
	stableFrom time.Time
}

func newKeyLedger(self basillift.Member) *keyLedger {
	started := time.UnixMilli(int64(self.Incarnation()))
	return &keyLedger{book: blidempotency.NewClaimStore(started)}
}

// observe keeps the roster current; it must be called each second.
func (k *keyLedger) observe(now time.Time, d basillift.Directory) {
	members, generation := d.Members(), d.Generation()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster != nil {
		k.roster.Observe(now, members)
		return
	}
	if generation != k.generation || k.stableFrom.IsZero() {
		k.generation, k.stableFrom = generation, now
	}
	if len(members) < rosterLeast || now.Sub(k.stableFrom) < rosterStable {
		return
	}
	k.roster = blidempotency.NewOwnerSelector(nil)
	k.roster.Observe(now, members)
}

// seed takes a peer's roster, unless there is one already.
func (k *keyLedger) seed(members []basillift.VMID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster == nil && len(members) >= rosterLeast {
		k.roster = blidempotency.NewOwnerSelector(members)
	}
}

func (k *keyLedger) snapshot() []basillift.VMID {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster == nil {
		return nil
	}
	return k.roster.Snapshot()
}

// owners returns no sets while there is no roster; no claim has a quorum then.
func (k *keyLedger) owners(key blidempotency.Key) blidempotency.OwnerSets {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster == nil {
		return blidempotency.OwnerSets{}
	}
	return k.roster.Owners(key)
}

func (k *keyLedger) claim(now time.Time, key blidempotency.Key, id string) blidempotency.Grant {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.book.Claim(now, key, id)
}

func (k *keyLedger) settle(now time.Time, key blidempotency.Key, id string, a blidempotency.Answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.book.Settle(now, key, id, a)
}

// keyClaim is the claim of one call on its key at all owners.
type keyClaim struct {
	proxy   *Proxy
	call    *call
	key     blidempotency.Key
	id      string
	owners  blidempotency.OwnerSets
	asked   int
	replies chan blidempotency.Reply
	got     []blidempotency.Reply
	answer  blidempotency.Answer
}

// claimKey asks the owners of the call's key. It returns no claim for a call
// without a key. The claim's id is made here: two requests of one caller may
// carry the same call id, and must not share a grant.
func (p *Proxy) claimKey(now time.Time, k *call) (*keyClaim, blidempotency.Decision) {
	c := &keyClaim{proxy: p, call: k, id: p.callID(p.directory.Self())}
	c.key = blidempotency.NewKey(k.customer, k.service, k.key)
	c.owners = p.keys.owners(c.key)
	all := c.owners.All()
	c.asked = len(all)
	c.replies = make(chan blidempotency.Reply, len(all))
	for _, owner := range all {
		p.background.Go(func() { c.ask(owner) })
	}
	return c, c.collect(now)
}

// ask gets one owner's reply. An owner that cannot be reached gives none.
func (c *keyClaim) ask(owner basillift.VMID) {
	if owner == c.proxy.directory.Self().ID() {
		c.replies <- blidempotency.NewReply(owner, c.proxy.keys.claim(time.Now(), c.key, c.id))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var r ClaimResult
	err := c.proxy.peers.Call(ctx, owner, MethodClaim, c.params(), &r)
	if err != nil {
		c.replies <- blidempotency.NewReply(owner, blidempotency.Grant{})
		return
	}
	c.replies <- blidempotency.NewReply(owner, r.grant())
}

// collect returns the ruling as soon as it is final.
func (c *keyClaim) collect(asked time.Time) blidempotency.Decision {
	ruling := blidempotency.Decide(time.Now(), asked, c.owners, nil)
	for len(c.got) < c.asked {
		select {
		case r := <-c.replies:
			c.got = append(c.got, r)
		case <-c.call.canceledChan():
			return ruling
		}
		ruling = blidempotency.Decide(time.Now(), asked, c.owners, c.got)
		if ruling.Kind() == blidempotency.DecisionRun || ruling.Kind() == blidempotency.DecisionRepeat {
			return ruling
		}
	}
	return ruling
}

// settle tells the owners how the call ended, in the background: owners that have
// not replied yet must get the claim before its end.
func (c *keyClaim) settle(a blidempotency.Answer) {
	c.answer = a
	c.proxy.background.Go(c.run)
}

// run waits for the replies that are still out and then settles.
func (c *keyClaim) run() {
	for len(c.got) < c.asked {
		c.got = append(c.got, <-c.replies)
	}
	for _, owner := range c.owners.All() {
		if owner == c.proxy.directory.Self().ID() {
			c.proxy.keys.settle(time.Now(), c.key, c.id, c.answer)
			continue
		}
		c.proxy.peers.Notify(owner, MethodSettle, settleParams(c.params(), c.answer))
	}
	if c.proxy.records(RecordRefused) {
		now := time.Now()
		e := c.call.event(now, basillift.EventKeySettled).WithOutcome(c.answer.Outcome(), "", c.answer.Status())
		c.proxy.recorder.Record(e)
	}
}

// claimed runs a call with a key: it is forwarded only if the ruling says so.
func (p *Proxy) claimed(ctx *fasthttp.RequestCtx, k *call, now time.Time, forward func() *refusal) *refusal {
	c, ruling := p.claimKey(now, k)
	if p.records(RecordRefused) {
		at := time.Now()
		p.recorder.Record(k.event(at, basillift.EventKeyClaimed).WithDetail(string(ruling.Kind())))
	}
	switch ruling.Kind() {
	case blidempotency.DecisionRun:
		r := forward()
		c.settle(outcomeForKey(ctx, r))
		return r
	case blidempotency.DecisionRepeat:
		c.settle(ruling.Answer())
		repeat(ctx, ruling.Answer())
		return nil
	case blidempotency.DecisionConflict:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDuplicate, "A request with this key is still running.")
	case blidempotency.DecisionNotRun:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeNotRun, ruling.Reason(), "The key cannot be claimed now.")
	default:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeUnknown, basillift.ReasonKeyUnknown, "An earlier request with this key may have run.")
	}
}

// outcomeForKey says what the owners are to remember of a call. A streamed
// response is too large to be kept, and its end is not known yet.
func outcomeForKey(ctx *fasthttp.RequestCtx, r *refusal) blidempotency.Answer {
	if r != nil {
		if r.outcome == basillift.OutcomeNotRun {
			return blidempotency.NotRun()
		}
		return blidempotency.Unknown()
	}
	said := announced(&ctx.Response)
	if said != nil && said.outcome == basillift.OutcomeNotRun {
		return blidempotency.NotRun()
	}
	if said != nil || ctx.Response.IsBodyStream() {
		return blidempotency.Unknown()
	}
	body := append([]byte(nil), ctx.Response.Body()...)
	return blidempotency.Done(ctx.Response.StatusCode(), string(ctx.Response.Header.ContentType()), body)
}

// repeat answers with the stored response of the first request.
func repeat(ctx *fasthttp.RequestCtx, a blidempotency.Answer) {
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.SetStatusCode(a.Status())
	if a.Media() != "" {
		ctx.Response.Header.SetContentType(a.Media())
	}
	ctx.Response.SetBody(a.Body())
}
