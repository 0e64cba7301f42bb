package blproxy

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blledger"
)

// The messages between daemons that the request path sends. The daemon's wiring
// registers HandleClaim, HandleSettle and HandleRoster under these names.
const (
	MethodClaim  = "claim"
	MethodSettle = "settle"
	MethodRoster = "roster"
)

// claimMessage names one call's claim on a key, and in settle how the call ended.
type claimMessage struct {
	Customer string            `json:"customer"`
	Service  string            `json:"service"`
	Key      string            `json:"key"`
	Call     string            `json:"call"`
	Outcome  basillift.Outcome `json:"outcome,omitempty"`
	Status   int               `json:"status,omitempty"`
	Media    string            `json:"media,omitempty"`
	Body     []byte            `json:"body,omitempty"`
}

// claimResult is an owner's reply; status, media and body belong to a stored answer.
type claimResult struct {
	Grant  blledger.GrantKind `json:"grant"`
	Status int                `json:"status,omitempty"`
	Media  string             `json:"media,omitempty"`
	Body   []byte             `json:"body,omitempty"`
}

// rosterResult holds the VM ids of the settled owners.
type rosterResult struct {
	Members []basillift.VMID `json:"members"`
}

func (c *keyClaim) params() claimMessage {
	return claimMessage{Customer: c.call.customer, Service: c.call.service, Key: c.call.key, Call: c.id}
}

func settleParams(m claimMessage, a blledger.Answer) claimMessage {
	m.Outcome, m.Status, m.Media, m.Body = a.Outcome(), a.Status(), a.Media(), a.Body()
	return m
}

// grant takes an unknown kind as no grant.
func (r claimResult) grant() blledger.Grant {
	if r.Grant != blledger.GrantAnswered {
		return blledger.NewGrant(r.Grant, blledger.Answer{})
	}
	return blledger.NewGrant(r.Grant, blledger.Done(r.Status, r.Media, r.Body))
}

func (m claimMessage) answer() blledger.Answer {
	switch m.Outcome {
	case basillift.OutcomeDone:
		return blledger.Done(m.Status, m.Media, m.Body)
	case basillift.OutcomeNotRun:
		return blledger.NotRun()
	default:
		return blledger.Unknown()
	}
}

func decodeClaim(params json.RawMessage) (claimMessage, error) {
	var m claimMessage
	err := json.Unmarshal(params, &m)
	if err != nil {
		return m, fmt.Errorf("decode claim: %w", err)
	}
	if m.Customer == "" || m.Service == "" || m.Key == "" || m.Call == "" {
		return m, fmt.Errorf("decode claim: customer, service, key and call are required: %w", basillift.ErrRefused)
	}
	return m, nil
}

// HandleClaim answers a "claim" call of another daemon.
func (p *Proxy) HandleClaim(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	m, err := decodeClaim(params)
	if err != nil {
		return nil, err
	}
	g := p.keeper.claim(time.Now(), blledger.NewKey(m.Customer, m.Service, m.Key), m.Call)
	a := g.Answer()
	return claimResult{Grant: g.Kind(), Status: a.Status(), Media: a.Media(), Body: a.Body()}, nil
}

// HandleSettle takes a "settle" notification of another daemon.
func (p *Proxy) HandleSettle(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	m, err := decodeClaim(params)
	if err != nil {
		return nil, err
	}
	p.keeper.settle(time.Now(), blledger.NewKey(m.Customer, m.Service, m.Key), m.Call, m.answer())
	return nil, nil
}

// HandleRoster answers a "roster" call of a daemon that has just started.
func (p *Proxy) HandleRoster(context.Context, basillift.VMID, json.RawMessage) (any, error) {
	return rosterResult{Members: p.keeper.snapshot()}, nil
}

// rosterPeers is how many peers a starting daemon asks for their roster.
const rosterPeers = 3

// askRoster takes the roster of a peer that has one.
func (p *Proxy) askRoster(ctx context.Context) {
	self, asked := p.directory.Self().ID(), 0
	for _, s := range p.directory.Members() {
		if s.Member().ID() == self || s.Liveness() != basillift.LivenessAlive {
			continue
		}
		var r rosterResult
		err := p.callPeer(ctx, s.Member().ID(), &r)
		if err == nil && len(r.Members) > 0 {
			p.keeper.seed(r.Members)
			return
		}
		asked++
		if asked == rosterPeers {
			return
		}
	}
}

func (p *Proxy) callPeer(ctx context.Context, id basillift.VMID, result any) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := p.peers.Call(ctx, id, MethodRoster, struct{}{}, result)
	if err != nil {
		return fmt.Errorf("ask for roster: %w", err)
	}
	return nil
}
