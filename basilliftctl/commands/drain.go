package commands

import (
	"context"

	"basillift.dev/basillift/bladmin"
)

// drain is the command that takes one target out of service.
type drain struct {
	Admin string `long:"admin" value-name:"IP:PORT" required:"true" description:"admin address of the target's daemon"`
	JSON  bool   `long:"json" description:"print the result as JSON"`
}

// Name implements Command.
func (c *drain) Name() string { return "drain" }

// Short implements Command.
func (c *drain) Short() string { return "Begin to drain one target" }

// Long implements Command.
func (c *drain) Long() string {
	return `Asks a daemon to drain its target. New calls go elsewhere within 2 s; calls in flight finish. The daemon
keeps running until it is stopped.

Example:
  basilliftctl drain --admin 10.0.1.17:7103
` + exitCodesHelp
}

// Run implements Command.
func (c *drain) Run(_ context.Context, s Streams) error {
	if err := bladmin.NewClient(c.Admin).Drain(); err != nil {
		return unreadableError(err)
	}
	if c.JSON {
		return s.printJSON(drainResult{Draining: true})
	}
	s.printf("draining\n")
	return nil
}

// drainResult is the JSON output of drain.
type drainResult struct {
	Draining bool `json:"draining"`
}
