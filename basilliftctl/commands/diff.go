package commands

import (
	"context"
	"fmt"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
)

// diff is the command that compares two versions of the lists or of a routing table.
type diff struct {
	OldCustomers string `long:"old-customers" value-name:"FILE" description:"the customers list to compare with"`
	OldPlans     string `long:"old-plans" value-name:"FILE" description:"the plans list to compare with"`
	Platform     string `long:"platform" value-name:"URL" description:"compare with the lists that the platform holds"`
	Customers    string `long:"customers" value-name:"FILE" description:"the new customers list"`
	Plans        string `long:"plans" value-name:"FILE" description:"the new plans list"`
	OldTable     string `long:"old-table" value-name:"FILE" description:"the routing table to compare with"`
	Admin        string `long:"admin" value-name:"IP:PORT" description:"compare with the routing table in force on this daemon"`
	Table        string `long:"table" value-name:"FILE" description:"the new routing table"`
	JSON         bool   `long:"json" description:"print the result as JSON"`
}

// diffResult is the JSON output of diff for lists.
type diffResult struct {
	From      string           `json:"from"`
	To        string           `json:"to"`
	Ignored   bool             `json:"ignored"` // the new epoch is lower, so daemons would not adopt the lists
	Declared  []string         `json:"declared"`
	Retired   []string         `json:"retired"`
	Plans     []planChange     `json:"plans"`
	Services  []serviceChange  `json:"services"`
	Customers []customerChange `json:"customers"`
}

type planChange struct {
	Name   string `json:"name"`
	Change string `json:"change"`
}

type serviceChange struct {
	Name   string `json:"name"`
	Gained int    `json:"gained"`
	Lost   int    `json:"lost"`
}

type customerChange struct {
	Name   string   `json:"name"`
	Old    string   `json:"old"`
	New    string   `json:"new"`
	Gained []string `json:"gained"`
	Lost   []string `json:"lost"`
	Limits string   `json:"limits"`
}

// Name implements Command.
func (d *diff) Name() string { return "diff" }

// Short implements Command.
func (d *diff) Short() string {
	return "Show what each customer gains and loses by new lists, or what a new routing table changes"
}

// Long implements Command.
func (d *diff) Long() string {
	return `Compares new lists with older ones, or with those on the platform, and prints for each customer
and service what is gained and lost.

Examples:
  basilliftctl diff --platform http://10.0.0.5:2400 --customers customers.json --plans plans.json
  basilliftctl diff --old-customers a/customers.json --old-plans a/plans.json \
    --customers b/customers.json --plans b/plans.json --json
  basilliftctl diff --admin 10.0.1.17:7103 --table table.json
` + exitCodesHelp
}

// Run implements Command.
func (d *diff) Run(ctx context.Context, s Streams) error {
	if d.Table != "" {
		return d.runTable(s)
	}
	from, err := d.readOld(ctx)
	if err != nil {
		return d.reportReadError(s, "old lists", err)
	}
	to, err := readFiles(d.Customers, d.Plans)
	if err != nil {
		return d.reportReadError(s, "new lists", err)
	}
	before, err := buildSnapshot(from)
	if err != nil {
		return fmt.Errorf("old lists: %w", err)
	}
	after, err := buildSnapshot(to)
	if err != nil {
		return fmt.Errorf("new lists: %w", err)
	}
	return d.print(s, before, after)
}

func (d *diff) runTable(s Streams) error {
	before, err := readOldTable(d.OldTable, d.Admin)
	if err != nil {
		return err
	}
	after, err := readTable(d.Table)
	if err != nil {
		return err
	}
	return s.diffTables(before, after, d.JSON)
}

func (d *diff) readOld(ctx context.Context) (bllist.ConsistentRead, error) {
	oldFiles := d.OldCustomers != "" && d.OldPlans != ""
	noOldFiles := d.OldCustomers == "" && d.OldPlans == ""
	switch {
	case d.Customers == "" || d.Plans == "":
		return bllist.ConsistentRead{}, usageError("give --customers and --plans, the new lists")
	case d.Platform != "" && noOldFiles:
		return readPlatform(ctx, d.Platform)
	case d.Platform == "" && oldFiles:
		return readFiles(d.OldCustomers, d.OldPlans)
	default:
		return bllist.ConsistentRead{}, usageError("give either --old-customers and --old-plans, or --platform")
	}
}

// reportReadError prints the problems if err says that the lists are invalid, and returns any
// other error with the label.
func (d *diff) reportReadError(s Streams, label string, err error) error {
	invalid, ok := asInvalid(err)
	if !ok {
		return fmt.Errorf("%s: %w", label, err)
	}
	if d.JSON {
		result := map[string]any{"lists": label, "problems": problems(invalid), "more": invalid.MayHaveMore()}
		if err := s.printJSON(result); err != nil {
			return err
		}
		return differsError()
	}
	s.printf("%s:\n", label)
	s.printProblems(invalid)
	return differsError()
}

func (d *diff) print(s Streams, before, after *blconfig.Snapshot) error {
	result := compare(before, after)
	if d.JSON {
		if err := s.printJSON(result); err != nil {
			return err
		}
	} else {
		s.printDiff(result)
	}
	if blconfig.Diff(before, after).ChangeCount() == 0 && !result.Ignored {
		return nil
	}
	return differsError()
}

func compare(before, after *blconfig.Snapshot) diffResult {
	result := diffResult{
		From: before.Version().String(), To: after.Version().String(),
		Declared: missingServices(after.Services(), before), Retired: missingServices(before.Services(), after),
		Plans:    planChanges(before, after),
		Services: []serviceChange{}, Customers: []customerChange{},
	}
	result.Ignored = after.Version().Epoch() < before.Version().Epoch()
	gained, lost := make(map[string]int), make(map[string]int)
	for _, c := range blconfig.Changes(before, after) {
		for _, s := range c.Gained() {
			gained[s]++
		}
		for _, s := range c.Lost() {
			lost[s]++
		}
		result.Customers = append(result.Customers, customerChange{
			Name: c.Customer(), Old: c.Before().Name(), New: c.After().Name(),
			Gained: append([]string{}, c.Gained()...), Lost: append([]string{}, c.Lost()...), Limits: limitChange(c),
		})
	}
	names := append(append([]string{}, after.Services()...), result.Retired...)
	for _, n := range names {
		if gained[n]+lost[n] > 0 {
			result.Services = append(result.Services, serviceChange{Name: n, Gained: gained[n], Lost: lost[n]})
		}
	}
	return result
}

func planChanges(before, after *blconfig.Snapshot) []planChange {
	old := make(map[string]basillift.Plan)
	for _, p := range before.Plans() {
		old[p.Name()] = p
	}
	changes := []planChange{}
	for _, p := range after.Plans() {
		o, found := old[p.Name()]
		delete(old, p.Name())
		switch {
		case !found:
			changes = append(changes, planChange{Name: p.Name(), Change: "new"})
		case !o.Equal(p):
			changes = append(changes, planChange{Name: p.Name(), Change: "changed"})
		}
	}
	for _, p := range before.Plans() {
		if _, remains := old[p.Name()]; remains {
			changes = append(changes, planChange{Name: p.Name(), Change: "removed"})
		}
	}
	return changes
}

// missingServices returns the services that the snapshot does not declare.
func missingServices(services []string, snapshot *blconfig.Snapshot) []string {
	names := []string{}
	for _, s := range services {
		if !snapshot.HasService(s) {
			names = append(names, s)
		}
	}
	return names
}

func limitChange(c blconfig.Change) string {
	if !c.LimitsChanged() {
		return ""
	}
	return planLimits(c.Before()) + " -> " + planLimits(c.After())
}

func planLimits(p basillift.Plan) string {
	return fmt.Sprintf("rate %d, concurrency %d, class %s", p.Rate(), p.Concurrency(), p.Class())
}
