package commands

import (
	"context"
	"time"

	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blexplain"
)

// explain is the command that shows the steps by which a call would be routed or refused.
type explain struct {
	Admin    string `long:"admin" value-name:"IP:PORT" description:"admin address of the caller's daemon; it decides by its own failure domain"`
	Customer string `long:"customer" description:"customer of the call"`
	Service  string `long:"service" description:"service that is called"`
	Method   string `long:"method" default:"GET" description:"HTTP method"`
	Host     string `long:"host" description:"host of a request that is routed by table"`
	Path     string `long:"path" description:"path of a request that is routed by table"`
	Bytes    uint32 `long:"bytes" value-name:"N" description:"size of the request's body, of a request that is routed by table"`
	Deadline uint32 `long:"deadline" value-name:"MS" description:"how long the caller waits, of a request that is routed by table"`
	Table    string `long:"table" value-name:"FILE" description:"use this routing table instead of asking a daemon"`
	JSON     bool   `long:"json" description:"print the steps as JSON"`
}

// Name implements Command.
func (c *explain) Name() string { return "explain" }

// Short implements Command.
func (c *explain) Short() string { return "Explain where a call would go or why it would be refused" }

// Long implements Command.
func (c *explain) Long() string {
	return `Asks the caller's daemon which steps it would take for a call, without sending one.

Examples:
  basilliftctl explain --admin 10.0.1.17:7103 --customer kobuleti --service catalogue --method POST
  basilliftctl explain --admin 10.0.1.17:7103 --host shop.example --path /browse/7
  basilliftctl explain --admin 10.0.1.17:7103 --host shop.example --path /browse/7 --bytes 60000 --deadline 400
  basilliftctl explain --table table.json --host shop.example --path /browse/7
` + exitCodesHelp
}

// Run implements Command.
func (c *explain) Run(_ context.Context, s Streams) error {
	if c.JSON && c.asksTableDaemon() {
		return c.printParts(s)
	}
	steps, err := c.steps()
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(steps)
	}
	for i, text := range steps {
		s.printf("%d. %s\n", i+1, text)
	}
	return nil
}

func (c *explain) steps() ([]string, error) {
	switch {
	case c.Admin == "" && c.Table == "":
		return nil, usageError("give --admin, or --table with --host and --path")
	case c.byTable():
		return explainRoute(c.Table, c.Admin, c.query())
	case c.Customer == "" || c.Service == "":
		return nil, usageError("give --customer and --service, or --host and --path")
	}
	steps, err := bladmin.NewClient(c.Admin).Explain(c.Customer, c.Service, c.Method)
	if err != nil {
		return nil, unreadableError(err)
	}
	return steps, nil
}

func (c *explain) byTable() bool { return c.Host != "" || c.Path != "" || c.Table != "" }

// asksTableDaemon reports whether a daemon explains a complete request that is routed by table.
func (c *explain) asksTableDaemon() bool {
	return c.Admin != "" && c.Table == "" && c.Host != "" && c.Path != ""
}

func (c *explain) query() blexplain.Query {
	return blexplain.NewQuery(c.Host, c.Path).WithBytes(int(c.Bytes)).WithDeadline(time.Duration(c.Deadline) * time.Millisecond)
}

// printParts prints the explanation of a daemon in its structured form.
func (c *explain) printParts(s Streams) error {
	e, err := bladmin.NewClient(c.Admin).ExplainParts(c.query())
	if err != nil {
		return unreadableError(err)
	}
	return s.printJSON(e)
}
