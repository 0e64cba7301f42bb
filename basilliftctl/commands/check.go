package commands

import (
	"context"

	"basillift.dev/basillift/bllist"
)

// check is the command that validates a routing table, or the lists in files or on
// the platform, with the validators that the daemons use.
type check struct {
	Customers string `long:"customers" value-name:"FILE" description:"the customers list; its parts are in the same directory as FILE.1, FILE.2, ..."`
	Plans     string `long:"plans" value-name:"FILE" description:"the plans list"`
	Platform  string `long:"platform" value-name:"URL" description:"check the lists that the platform holds"`
	Table     string `long:"table" value-name:"FILE" description:"check a routing table instead of lists"`
	JSON      bool   `long:"json" description:"print the result as JSON"`
}

// checkResult is the JSON output of check for lists.
type checkResult struct {
	OK        bool      `json:"ok"`
	Version   string    `json:"version"`
	Customers int       `json:"customers"`
	Plans     int       `json:"plans"`
	Services  int       `json:"services"`
	Problems  []problem `json:"problems"`
	More      bool      `json:"more"`
}

// Name implements Command.
func (c *check) Name() string { return "check" }

// Short implements Command.
func (c *check) Short() string {
	return "Check the customers and plans lists, or a routing table, before publishing them"
}

// Long implements Command.
func (c *check) Long() string {
	return `Checks both lists with the validator that the daemons use and prints all problems at once.

Examples:
  basilliftctl check --customers customers.json --plans plans.json
  basilliftctl check --platform http://10.0.0.5:2400 --json
  basilliftctl check --table table.json
` + exitCodesHelp
}

// Run implements Command.
func (c *check) Run(ctx context.Context, s Streams) error {
	if c.Table != "" {
		return s.checkTable(c.Table, c.JSON)
	}
	read, err := c.read(ctx)
	if invalid, ok := asInvalid(err); ok {
		return c.printInvalid(s, invalid)
	}
	if err != nil {
		return err
	}
	l := read.Lists()
	if c.JSON {
		return s.printJSON(checkResult{
			OK: true, Version: read.Version().String(), Customers: len(l.Customers()),
			Plans: len(l.Plans()), Services: len(l.Services()), Problems: []problem{},
		})
	}
	s.printf("ok: version %s, %d customers, %d plans, %d services\n",
		read.Version(), len(l.Customers()), len(l.Plans()), len(l.Services()))
	return nil
}

func (c *check) read(ctx context.Context) (bllist.ConsistentRead, error) {
	files := c.Customers != "" && c.Plans != ""
	switch {
	case c.Platform != "" && c.Customers == "" && c.Plans == "":
		return readPlatform(ctx, c.Platform)
	case c.Platform == "" && files:
		return readFiles(c.Customers, c.Plans)
	default:
		return bllist.ConsistentRead{}, usageError("give either --customers and --plans, or --platform")
	}
}

// printInvalid prints the problems of invalid lists and returns the error for the exit code.
func (c *check) printInvalid(s Streams, invalid *bllist.InvalidError) error {
	if !c.JSON {
		s.printProblems(invalid)
		return differsError()
	}
	result := checkResult{Version: invalid.Version().String(), Problems: problems(invalid), More: invalid.MayHaveMore()}
	if err := s.printJSON(result); err != nil {
		return err
	}
	return differsError()
}
