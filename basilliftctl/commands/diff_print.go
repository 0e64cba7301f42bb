package commands

import "strings"

func (s Streams) printDiff(d diffResult) {
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
		s.printf("customer %s: %s\n", c.Name, strings.Join(c.details(), "; "))
	}
	s.printf("%d customers change\n", len(d.Customers))
}

func (c customerChange) details() []string {
	var details []string
	switch {
	case c.Old == "":
		details = append(details, "new, plan "+c.New)
	case c.New == "":
		details = append(details, "removed, plan was "+c.Old)
	case c.Old != c.New:
		details = append(details, "plan "+c.Old+" -> "+c.New)
	default:
		details = append(details, "plan "+c.New+" changed")
	}
	if len(c.Gained) > 0 {
		details = append(details, "gains "+strings.Join(c.Gained, ", "))
	}
	if len(c.Lost) > 0 {
		details = append(details, "loses "+strings.Join(c.Lost, ", "))
	}
	if c.Limits != "" {
		details = append(details, "limits "+c.Limits)
	}
	return details
}
