package blproxy

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
)

// Explain says step by step why a call would go where it goes or be refused. It sends nothing and
// changes nothing.
func (p *Proxy) Explain(now time.Time, customer, service, method string) []string {
	c, ok := p.source.Current()
	if !ok {
		return []string{fmt.Sprintf("%s refused: %s", customer, basillift.ReasonNoVersion)}
	}
	p.routes.mutex.Lock()
	steps := p.routes.chooser.Explain(now, c, customer, service, p.directory.Targets(service))
	p.routes.mutex.Unlock()
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

// Quarantined returns the fingerprints of requests that are refused because they crash targets.
func (p *Proxy) Quarantined(now time.Time) []string {
	p.guard.mutex.Lock()
	defer p.guard.mutex.Unlock()
	var refused []string
	for _, s := range p.guard.board.Snapshot(now) {
		if p.guard.board.Check(now, s.Fingerprint()) == blquarantine.DecisionQuarantine {
			refused = append(refused, fmt.Sprintf("%x", s.Fingerprint()))
		}
	}
	return refused
}
