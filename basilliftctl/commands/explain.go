package commands

import (
	"context"

	"basillift.dev/basillift/bladmin"
)

// explain tells why a call would go where it goes.
type explain struct {
	Admin    string `long:"admin" value-name:"IP:PORT" required:"true" description:"admin address of the caller's daemon; it decides by its own failure domain"`
	Customer string `long:"customer" required:"true" description:"customer of the call"`
	Service  string `long:"service" required:"true" description:"service that is called"`
	Method   string `long:"method" default:"GET" description:"HTTP method"`
	JSON     bool   `long:"json" description:"print the steps as JSON"`
}

// Name implements Command.
func (c *explain) Name() string { return "explain" }

// Short implements Command.
func (c *explain) Short() string { return "Say why a call would go where it goes or be refused" }

// Long implements Command.
func (c *explain) Long() string {
	return `Asks the caller's daemon which steps it would take for a call, without sending one.

Example:
  basilliftctl explain --admin 10.0.1.17:7103 --customer kobuleti --service catalogue --method POST
` + exitCodes
}

// Run implements Command.
func (c *explain) Run(_ context.Context, s Streams) error {
	steps, err := bladmin.NewClient(c.Admin).Explain(c.Customer, c.Service, c.Method)
	if err != nil {
		return failure(err)
	}
	if c.JSON {
		return s.printJSON(steps)
	}
	for i, text := range steps {
		s.printf("%d. %s\n", i+1, text)
	}
	return nil
}
