package commands

import (
	"context"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/bltimeline"
)

// timeline is the command that shows the events of daemons in one ordered list.
type timeline struct {
	daemonOptions
	Format string `long:"format" default:"text" choice:"text" choice:"json" choice:"trace" description:"text, JSON lines, or trace events for a browser's trace viewer"`
	JSON   bool   `long:"json" description:"the same as --format json"`
}

// Name implements Command.
func (c *timeline) Name() string { return "timeline" }

// Short implements Command.
func (c *timeline) Short() string { return "Show one ordered list of events over daemons" }

// Long implements Command.
func (c *timeline) Long() string {
	return `Collects the newest events of daemons and merges them by time.

Examples:
  basilliftctl timeline --admin 10.0.1.17:7103 --all
  basilliftctl timeline --admin 10.0.1.17:7103 --all --format json > trace.jsonl
  basilliftctl timeline --admin 10.0.1.17:7103 --all --format trace > trace.json
` + exitCodesHelp
}

// Run implements Command.
func (c *timeline) Run(ctx context.Context, s Streams) error {
	daemons, err := c.list()
	if err != nil {
		return err
	}
	answers := queryAll(ctx, daemons, (*bladmin.Client).Timeline)
	if warnUnanswered(s, answers) == len(answers) {
		return unreadableError(errNoAnswer)
	}
	var lists [][]basillift.Event
	for _, a := range answers {
		lists = append(lists, a.result)
	}
	format := bltimeline.Format(c.Format)
	if c.JSON {
		format = bltimeline.FormatJSON
	}
	if err := bltimeline.Write(s.out, format, bltimeline.Merge(lists...)); err != nil {
		return unreadableError(err)
	}
	return nil
}
