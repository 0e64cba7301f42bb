package blproxy

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
)

// Explain returns the steps that decide to which target a call would go or why it would be
// refused. It sends nothing and changes no state.
func (p *Proxy) Explain(now time.Time, customer, service, method string) []string {
	c, ok := p.source.Current()
	if !ok {
		return []string{fmt.Sprintf("%s refused: %s", customer, basillift.ReasonNoVersion)}
	}
	p.selection.mutex.Lock()
	steps := p.selection.chooser.Explain(now, c, customer, service, p.directory.Targets(service))
	p.selection.mutex.Unlock()
	lines := make([]string, 0, len(steps)+1)
	for _, s := range steps {
		lines = append(lines, fmt.Sprintf("%s %s: %s", s.Subject(), s.Result(), s.Reason()))
	}
	retries := "not idempotent: sent again only after \"not run\""
	if blretry.Idempotent(method) {
		retries = "idempotent: may be sent again"
	}
	return append(lines, fmt.Sprintf("%s %s", method, retries))
}

// QuarantinedFingerprints returns the fingerprints of requests that are refused because they crash targets.
func (p *Proxy) QuarantinedFingerprints(now time.Time) []string {
	p.quarantine.mutex.Lock()
	defer p.quarantine.mutex.Unlock()
	var refused []string
	for _, s := range p.quarantine.suspicions.Snapshot(now) {
		if p.quarantine.suspicions.Check(now, s.Fingerprint()) == blquarantine.DecisionQuarantine {
			refused = append(refused, fmt.Sprintf("%x", s.Fingerprint()))
		}
	}
	return refused
}
