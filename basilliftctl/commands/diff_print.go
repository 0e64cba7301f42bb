package commands

import "strings"

func (s Streams) printDifference(d difference) {
	if d.Ignored {
		s.printf("the daemons would ignore the new lists: the epoch of %s is lower than that of %s\n", d.To, d.From)
	}
	for _, n := range d.Declared {
		s.printf("service %s: declared\n", n)
	}
	for _, n := range d.Retired {
		s.printf("service %s: no longer declared\n", n)
	}
	for _, p := range d.Plans {
		s.printf("plan %s: %s\n", p.Name, p.Change)
	}
	for _, c := range d.Services {
		s.printf("service %s: gained by %d customers, lost by %d\n", c.Name, c.Gained, c.Lost)
	}
	for _, c := range d.Customers {
		s.printf("customer %s: %s\n", c.Name, strings.Join(c.parts(), "; "))
	}
	s.printf("%d customers change\n", len(d.Customers))
}

func (c customerChange) parts() []string {
	var parts []string
	switch {
	case c.Old == "":
		parts = append(parts, "new, plan "+c.New)
	case c.New == "":
		parts = append(parts, "removed, plan was "+c.Old)
	case c.Old != c.New:
		parts = append(parts, "plan "+c.Old+" -> "+c.New)
	default:
		parts = append(parts, "plan "+c.New+" changed")
	}
	if len(c.Gained) > 0 {
		parts = append(parts, "gains "+strings.Join(c.Gained, ", "))
	}
	if len(c.Lost) > 0 {
		parts = append(parts, "loses "+strings.Join(c.Lost, ", "))
	}
	if c.Limits != "" {
		parts = append(parts, "limits "+c.Limits)
	}
	return parts
}
