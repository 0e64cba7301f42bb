package labdemo

import (
	"time"
)

// permission states whether a customer may use a service, from the sending of one edit until
// the convergence of the next one that changes it. A zero until means that there is none
// yet. edit is -1 for the initial lists.
type permission struct {
	allowed bool
	from    time.Time
	until   time.Time
	edit    int
}

type customerService struct {
	customer string
	service  string
}

// Oracle is the test oracle for permissions: it knows which calls the published lists allow
// at each time. An edit takes effect at an unknown time between its sending and its
// convergence, when both outcomes are correct; before and after, only one is. Oracle is not
// safe for concurrent use.
type Oracle struct {
	permissions map[customerService][]permission
}

// NewOracle returns an oracle that starts with lists that are in force at all daemons.
func NewOracle(l *Lists, customers, services []string) *Oracle {
	o := &Oracle{permissions: map[customerService][]permission{}}
	for _, c := range customers {
		for _, s := range services {
			o.permissions[customerService{c, s}] = []permission{{allowed: l.Allows(c, s), edit: -1}}
		}
	}
	return o
}

// RecordEdit records the lists after an edit, with the time at which it was sent and the
// time at which it was in force at all daemons.
func (o *Oracle) RecordEdit(l *Lists, edit int, sent, converged time.Time) {
	for pair, permissions := range o.permissions {
		last := &permissions[len(permissions)-1]
		allowed := l.Allows(pair.customer, pair.service)
		if last.allowed == allowed {
			continue
		}
		last.until = converged
		o.permissions[pair] = append(permissions, permission{allowed: allowed, from: sent, edit: edit})
	}
}

// Permits reports whether allowed (true) or refused (false) is a correct outcome of a call
// that was sent and ended at the given times.
func (o *Oracle) Permits(pair customerService, sent, ended time.Time, allowed bool) bool {
	for _, p := range o.permissions[pair] {
		if p.allowed == allowed && !ended.Before(p.from) && (p.until.IsZero() || !sent.After(p.until)) {
			return true
		}
	}
	return false
}

// ShownEdit returns the edit whose effect a call's outcome shows. It returns -1 if the
// opposite outcome would have been correct too, or if the initial lists explain the outcome.
// A call that overlaps the next edit shows nothing, because both outcomes are correct then.
func (o *Oracle) ShownEdit(pair customerService, sent, ended time.Time, allowed bool) int {
	if o.Permits(pair, sent, ended, !allowed) {
		return -1
	}
	for _, p := range o.permissions[pair] {
		if p.allowed == allowed && !sent.Before(p.from) && (p.until.IsZero() || !sent.After(p.until)) {
			return p.edit
		}
	}
	return -1
}
