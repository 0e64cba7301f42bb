package blproxy

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blledger"
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
	book       *blledger.Book
	roster     *blledger.Roster
	generation uint64
	stableFrom time.Time
}

func newKeyLedger(self basillift.Member) *keyLedger {
	started := time.UnixMilli(int64(self.Incarnation()))
	return &keyLedger{book: blledger.NewBook(started)}
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
	k.roster = blledger.NewRoster(nil)
	k.roster.Observe(now, members)
}

// seed takes a peer's roster, unless there is one already.
func (k *keyLedger) seed(members []basillift.VMID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster == nil && len(members) >= rosterLeast {
		k.roster = blledger.NewRoster(members)
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
func (k *keyLedger) owners(key blledger.Key) blledger.OwnerSets {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.roster == nil {
		return blledger.OwnerSets{}
	}
	return k.roster.Owners(key)
}

func (k *keyLedger) claim(now time.Time, key blledger.Key, id string) blledger.Grant {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.book.Claim(now, key, id)
}

func (k *keyLedger) settle(now time.Time, key blledger.Key, id string, a blledger.Answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.book.Settle(now, key, id, a)
}

// keyClaim is the claim of one call on its key at all owners.
type keyClaim struct {
	proxy   *Proxy
	call    *call
	key     blledger.Key
	id      string
	owners  blledger.OwnerSets
	asked   int
	replies chan blledger.Reply
	got     []blledger.Reply
	answer  blledger.Answer
}

// claimKey asks the owners of the call's key. It returns no claim for a call
// without a key. The claim's id is made here: two requests of one caller may
// carry the same call id, and must not share a grant.
func (p *Proxy) claimKey(now time.Time, k *call) (*keyClaim, blledger.Ruling) {
	c := &keyClaim{proxy: p, call: k, id: p.callID(p.directory.Self())}
	c.key = blledger.NewKey(k.customer, k.service, k.key)
	c.owners = p.keys.owners(c.key)
	all := c.owners.All()
	c.asked = len(all)
	c.replies = make(chan blledger.Reply, len(all))
	for _, owner := range all {
		p.background.Go(func() { c.ask(owner) })
	}
	return c, c.collect(now)
}

// ask gets one owner's reply. An owner that cannot be reached gives none.
func (c *keyClaim) ask(owner basillift.VMID) {
	if owner == c.proxy.directory.Self().ID() {
		c.replies <- blledger.NewReply(owner, c.proxy.keys.claim(time.Now(), c.key, c.id))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var r ClaimResult
	err := c.proxy.peers.Call(ctx, owner, MethodClaim, c.params(), &r)
	if err != nil {
		c.replies <- blledger.NewReply(owner, blledger.Grant{})
		return
	}
	c.replies <- blledger.NewReply(owner, r.grant())
}

// collect returns the ruling as soon as it is final.
func (c *keyClaim) collect(asked time.Time) blledger.Ruling {
	ruling := blledger.Verdict(time.Now(), asked, c.owners, nil)
	for len(c.got) < c.asked {
		select {
		case r := <-c.replies:
			c.got = append(c.got, r)
		case <-c.call.canceledChan():
			return ruling
		}
		ruling = blledger.Verdict(time.Now(), asked, c.owners, c.got)
		if ruling.Kind() == blledger.RulingRun || ruling.Kind() == blledger.RulingRepeat {
			return ruling
		}
	}
	return ruling
}

// settle tells the owners how the call ended, in the background: owners that have
// not replied yet must get the claim before its end.
func (c *keyClaim) settle(a blledger.Answer) {
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
	case blledger.RulingRun:
		r := forward()
		c.settle(outcomeForKey(ctx, r))
		return r
	case blledger.RulingRepeat:
		c.settle(ruling.Answer())
		repeat(ctx, ruling.Answer())
		return nil
	case blledger.RulingConflict:
		c.settle(blledger.NotRun())
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDuplicate, "A request with this key is still running.")
	case blledger.RulingNotRun:
		c.settle(blledger.NotRun())
		return refuse(basillift.OutcomeNotRun, ruling.Reason(), "The key cannot be claimed now.")
	default:
		c.settle(blledger.NotRun())
		return refuse(basillift.OutcomeUnknown, basillift.ReasonKeyUnknown, "An earlier request with this key may have run.")
	}
}

// outcomeForKey says what the owners are to remember of a call. A streamed
// response is too large to be kept, and its end is not known yet.
func outcomeForKey(ctx *fasthttp.RequestCtx, r *refusal) blledger.Answer {
	if r != nil {
		if r.outcome == basillift.OutcomeNotRun {
			return blledger.NotRun()
		}
		return blledger.Unknown()
	}
	said := announced(&ctx.Response)
	if said != nil && said.outcome == basillift.OutcomeNotRun {
		return blledger.NotRun()
	}
	if said != nil || ctx.Response.IsBodyStream() {
		return blledger.Unknown()
	}
	body := append([]byte(nil), ctx.Response.Body()...)
	return blledger.Done(ctx.Response.StatusCode(), string(ctx.Response.Header.ContentType()), body)
}

// repeat answers with the stored response of the first request.
func repeat(ctx *fasthttp.RequestCtx, a blledger.Answer) {
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.SetStatusCode(a.Status())
	if a.Media() != "" {
		ctx.Response.Header.SetContentType(a.Media())
	}
	ctx.Response.SetBody(a.Body())
}
