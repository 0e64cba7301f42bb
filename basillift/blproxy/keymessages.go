package blproxy

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blidempotency"
)

// Methods of the messages between daemons about idempotency keys. The daemon registers
// HandleClaim, HandleSettle and HandleRoster under these names.
const (
	MethodClaim  = "claim"
	MethodSettle = "settle"
	MethodRoster = "roster"
)

func (kc *keyClaim) params() ClaimMessage {
	return ClaimMessage{Customer: kc.call.customer, Service: kc.call.service, Key: kc.call.key, Call: kc.id}
}

func settleParams(m ClaimMessage, a blidempotency.Answer) ClaimMessage {
	m.Outcome, m.Status, m.Media, m.Body = string(a.Outcome()), a.Status(), a.ContentType(), a.Body()
	return m
}

// grant converts the result. An unknown kind counts as no grant.
func (cr ClaimResult) grant() blidempotency.Grant {
	kind := blidempotency.GrantKind(cr.Grant)
	if kind != blidempotency.GrantAnswered {
		return blidempotency.NewGrant(kind, blidempotency.Answer{})
	}
	return blidempotency.NewGrant(kind, blidempotency.Done(cr.Status, cr.Media, cr.Body))
}

func (cm ClaimMessage) answer() blidempotency.Answer {
	switch basillift.Outcome(cm.Outcome) {
	case basillift.OutcomeDone:
		return blidempotency.Done(cm.Status, cm.Media, cm.Body)
	case basillift.OutcomeNotRun:
		return blidempotency.NotRun()
	default:
		return blidempotency.Unknown()
	}
}

func decodeClaim(params json.RawMessage) (ClaimMessage, error) {
	var m ClaimMessage
	err := json.Unmarshal(params, &m)
	if err != nil {
		return m, fmt.Errorf("decode claim: %w", err)
	}
	if m.Customer == "" || m.Service == "" || m.Key == "" || m.Call == "" {
		return m, fmt.Errorf("decode claim: customer, service, key and call are required: %w", basillift.ErrRefused)
	}
	return m, nil
}

// HandleClaim answers a "claim" call from another daemon.
func (p *Proxy) HandleClaim(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	m, err := decodeClaim(params)
	if err != nil {
		return nil, err
	}
	g := p.keys.claim(time.Now(), blidempotency.NewKey(m.Customer, m.Service, m.Key), m.Call)
	a := g.Answer()
	return ClaimResult{Grant: string(g.Kind()), Status: a.Status(), Media: a.ContentType(), Body: a.Body()}, nil
}

// HandleSettle handles a "settle" notification from another daemon.
func (p *Proxy) HandleSettle(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	m, err := decodeClaim(params)
	if err != nil {
		return nil, err
	}
	p.keys.settle(time.Now(), blidempotency.NewKey(m.Customer, m.Service, m.Key), m.Call, m.answer())
	return nil, nil
}

func (r RosterResult) members() []basillift.VMID {
	members := make([]basillift.VMID, 0, len(r.Members))
	for _, name := range r.Members {
		members = append(members, basillift.VMID(name))
	}
	return members
}

// HandleRoster answers a "roster" call from a daemon that has just started: the list of key
// owners.
func (p *Proxy) HandleRoster(context.Context, basillift.VMID, json.RawMessage) (any, error) {
	r := RosterResult{Members: []string{}}
	for _, id := range p.keys.ownerList() {
		r.Members = append(r.Members, string(id))
	}
	return r, nil
}

// maxOwnerListPeers is the maximum number of peers that a starting daemon asks for their owner
// list.
const maxOwnerListPeers = 3

// fetchOwnerList adopts the owner list of the first peer that has one.
func (p *Proxy) fetchOwnerList(ctx context.Context) {
	self, asked := p.directory.Self().ID(), 0
	for _, s := range p.directory.Members() {
		if s.Member().ID() == self || s.Liveness() != basillift.LivenessAlive {
			continue
		}
		var r RosterResult
		err := p.requestOwnerList(ctx, s.Member().ID(), &r)
		if err == nil && len(r.Members) > 0 {
			p.keys.adoptOwners(r.members())
			return
		}
		asked++
		if asked == maxOwnerListPeers {
			return
		}
	}
}

func (p *Proxy) requestOwnerList(ctx context.Context, id basillift.VMID, result any) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := p.peers.Call(ctx, id, MethodRoster, struct{}{}, result)
	if err != nil {
		return fmt.Errorf("request owner list: %w", err)
	}
	return nil
}
