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
	// claimTimeout bounds the wait for one owner. Without it, an unreachable owner would use up
	// the deadline of the call.
	claimTimeout = time.Second
	// ownersStableTime is how long the member list must be unchanged before a daemon that received
	// no owner list from a peer builds its own from it. Otherwise daemons that start together
	// would each begin with a different part of the mesh.
	ownersStableTime = 5 * time.Second
	// minOwners is the minimum number of members of an owner list; with fewer, no key has a
	// quorum.
	minOwners = 2
)

// keyStore holds the idempotency keys that this daemon owns and its list of owners.
type keyStore struct {
	mutex       sync.Mutex
	claims      *blidempotency.ClaimStore
	selector    *blidempotency.OwnerSelector
	generation  uint64
	stableSince time.Time
}

func newKeyStore(self basillift.Member) *keyStore {
	started := time.UnixMilli(int64(self.Incarnation()))
	return &keyStore{claims: blidempotency.NewClaimStore(started)}
}

// observe updates the owner list with the members; it must be called once a second.
func (k *keyStore) observe(now time.Time, d basillift.Directory) {
	members, generation := d.Members(), d.Generation()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.selector != nil {
		k.selector.Observe(now, members)
		return
	}
	if generation != k.generation || k.stableSince.IsZero() {
		k.generation, k.stableSince = generation, now
	}
	if len(members) < minOwners || now.Sub(k.stableSince) < ownersStableTime {
		return
	}
	k.selector = blidempotency.NewOwnerSelector(nil)
	k.selector.Observe(now, members)
}

// adoptOwners adopts a peer's owner list, unless there is one already.
func (k *keyStore) adoptOwners(members []basillift.VMID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.selector == nil && len(members) >= minOwners {
		k.selector = blidempotency.NewOwnerSelector(members)
	}
}

func (k *keyStore) ownerList() []basillift.VMID {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.selector == nil {
		return nil
	}
	return k.selector.Snapshot()
}

// owners returns empty sets while there is no owner list. Then no claim reaches a quorum.
func (k *keyStore) owners(key blidempotency.Key) blidempotency.OwnerSets {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.selector == nil {
		return blidempotency.OwnerSets{}
	}
	return k.selector.Owners(key)
}

func (k *keyStore) claim(now time.Time, key blidempotency.Key, id string) blidempotency.Grant {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.claims.Claim(now, key, id)
}

func (k *keyStore) settle(now time.Time, key blidempotency.Key, id string, a blidempotency.Answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.claims.Settle(now, key, id, a)
}

// keyClaim is the claim of one call on its key at all owners of the key.
type keyClaim struct {
	proxy       *Proxy
	call        *call
	key         blidempotency.Key
	id          string
	owners      blidempotency.OwnerSets
	askedOwners int
	replies     chan blidempotency.Reply
	received    []blidempotency.Reply
	answer      blidempotency.Answer
}

// claimKey claims the key of the call at its owners. The claim gets an id of its own, because two
// requests of one caller may have the same call id and must not share a grant.
func (p *Proxy) claimKey(now time.Time, k *call) (*keyClaim, blidempotency.Decision) {
	c := &keyClaim{proxy: p, call: k, id: p.callID(p.directory.Self())}
	c.key = blidempotency.NewKey(k.customer, k.service, k.key)
	c.owners = p.keys.owners(c.key)
	all := c.owners.All()
	c.askedOwners = len(all)
	c.replies = make(chan blidempotency.Reply, len(all))
	for _, owner := range all {
		p.background.Go(func() { c.askOwner(owner) })
	}
	return c, c.collect(now)
}

// askOwner requests the claim from one owner. An owner that cannot be reached counts as a reply
// without a grant.
func (kc *keyClaim) askOwner(owner basillift.VMID) {
	if owner == kc.proxy.directory.Self().ID() {
		kc.replies <- blidempotency.NewReply(owner, kc.proxy.keys.claim(time.Now(), kc.key, kc.id))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var r ClaimResult
	err := kc.proxy.peers.Call(ctx, owner, MethodClaim, kc.params(), &r)
	if err != nil {
		kc.replies <- blidempotency.NewReply(owner, blidempotency.Grant{})
		return
	}
	kc.replies <- blidempotency.NewReply(owner, r.grant())
}

// collect waits for replies and returns the decision as soon as it is final.
func (kc *keyClaim) collect(askedAt time.Time) blidempotency.Decision {
	decision := blidempotency.Decide(time.Now(), askedAt, kc.owners, nil)
	for len(kc.received) < kc.askedOwners {
		select {
		case r := <-kc.replies:
			kc.received = append(kc.received, r)
		case <-kc.call.canceledChan():
			return decision
		}
		decision = blidempotency.Decide(time.Now(), askedAt, kc.owners, kc.received)
		if decision.Kind() == blidempotency.DecisionRun || decision.Kind() == blidempotency.DecisionReplay {
			return decision
		}
	}
	return decision
}

// settle reports the answer of the call, as owners store it, to the owners in the background. Owners
// that have not replied yet must receive the claim before its end.
func (kc *keyClaim) settle(a blidempotency.Answer) {
	kc.answer = a
	kc.proxy.background.Go(kc.run)
}

// run waits for the outstanding replies and then notifies all owners.
func (kc *keyClaim) run() {
	for len(kc.received) < kc.askedOwners {
		kc.received = append(kc.received, <-kc.replies)
	}
	for _, owner := range kc.owners.All() {
		if owner == kc.proxy.directory.Self().ID() {
			kc.proxy.keys.settle(time.Now(), kc.key, kc.id, kc.answer)
			continue
		}
		kc.proxy.peers.Notify(owner, MethodSettle, settleParams(kc.params(), kc.answer))
	}
	if kc.proxy.records(RecordRefused) {
		now := time.Now()
		e := kc.call.event(now, basillift.EventKeySettled).WithOutcome(kc.answer.Outcome(), "", kc.answer.Status())
		kc.proxy.recorder.Record(e)
	}
}

// forwardWithKey runs a call with a key: the call is forwarded only if the owners granted the
// claim.
func (p *Proxy) forwardWithKey(ctx *fasthttp.RequestCtx, k *call, now time.Time, forward func() *refusal) *refusal {
	c, decision := p.claimKey(now, k)
	if p.records(RecordRefused) {
		at := time.Now()
		p.recorder.Record(k.event(at, basillift.EventKeyClaimed).WithDetail(string(decision.Kind())))
	}
	switch decision.Kind() {
	case blidempotency.DecisionRun:
		r := forward()
		c.settle(answerForKey(ctx, r))
		return r
	case blidempotency.DecisionReplay:
		c.settle(decision.Answer())
		replay(ctx, decision.Answer())
		return nil
	case blidempotency.DecisionConflict:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDuplicate, "A request with this key is still running.")
	case blidempotency.DecisionNotRun:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeNotRun, decision.Reason(), "The key cannot be claimed now.")
	default:
		c.settle(blidempotency.NotRun())
		return refuse(basillift.OutcomeUnknown, basillift.ReasonKeyUnknown, "An earlier request with this key may have run.")
	}
}

// answerForKey returns the answer that the owners store for a call. A streamed response is too
// large to store, and its end is not known yet, so it is stored as unknown.
func answerForKey(ctx *fasthttp.RequestCtx, r *refusal) blidempotency.Answer {
	if r != nil {
		if r.outcome == basillift.OutcomeNotRun {
			return blidempotency.NotRun()
		}
		return blidempotency.Unknown()
	}
	reported := reportedFailure(&ctx.Response)
	if reported != nil && reported.outcome == basillift.OutcomeNotRun {
		return blidempotency.NotRun()
	}
	if reported != nil || ctx.Response.IsBodyStream() {
		return blidempotency.Unknown()
	}
	body := append([]byte(nil), ctx.Response.Body()...)
	return blidempotency.Done(ctx.Response.StatusCode(), string(ctx.Response.Header.ContentType()), body)
}

// replay writes the stored answer to the first request as the response.
func replay(ctx *fasthttp.RequestCtx, a blidempotency.Answer) {
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.SetStatusCode(a.Status())
	if a.ContentType() != "" {
		ctx.Response.Header.SetContentType(a.ContentType())
	}
	ctx.Response.SetBody(a.Body())
}
