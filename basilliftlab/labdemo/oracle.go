package labdemo

import (
	"time"
)

// right is whether a customer may use a service, from one edit to the next.
type right struct {
	allowed bool
	from    time.Time
	until   time.Time
	edit    int
}

// pair is a customer and a service.
type pair struct {
	customer string
	service  string
}

// Oracle knows which calls the published lists allow at each time. An edit takes
// effect somewhere between its sending and its convergence; before and after
// that only one answer is right. It is not safe for concurrent use.
type Oracle struct {
	rights map[pair][]right
}

// NewOracle returns an oracle for lists that are in force everywhere.
func NewOracle(l *Lists, customers, services []string) *Oracle {
	o := &Oracle{rights: map[pair][]right{}}
	for _, c := range customers {
		for _, s := range services {
			o.rights[pair{c, s}] = []right{{allowed: l.Allows(c, s), edit: -1}}
		}
	}
	return o
}

// Edit records that the lists changed by an edit sent at one time and seen in
// force on every daemon at a later time.
func (o *Oracle) Edit(l *Lists, edit int, sent, converged time.Time) {
	for p, rights := range o.rights {
		last := &rights[len(rights)-1]
		allowed := l.Allows(p.customer, p.service)
		if last.allowed == allowed {
			continue
		}
		last.until = converged
		o.rights[p] = append(rights, right{allowed: allowed, from: sent, edit: edit})
	}
}

// Permits reports whether a call between two times may end as allowed or not.
func (o *Oracle) Permits(p pair, sent, ended time.Time, allowed bool) bool {
	for _, r := range o.rights[p] {
		if r.allowed == allowed && !ended.Before(r.from) && (r.until.IsZero() || !sent.After(r.until)) {
			return true
		}
	}
	return false
}

// Shows returns the edit whose effect alone explains a call that was sent at a
// time, or -1. The effect of the next edit is not mixed in, as the call ended before it.
func (o *Oracle) Shows(p pair, sent, ended time.Time, allowed bool) int {
	if o.Permits(p, sent, ended, !allowed) {
		return -1
	}
	for _, r := range o.rights[p] {
		if r.allowed == allowed && !sent.Before(r.from) && (r.until.IsZero() || !sent.After(r.until)) {
			return r.edit
		}
	}
	return -1
}
