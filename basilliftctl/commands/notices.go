package commands

import (
	"cmp"
	"context"
	"slices"

	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blnotice"
)

// notices is the command that shows the open alerts.
type notices struct {
	daemonOptions
	JSON bool `long:"json" description:"print the notices as JSON"`
}

// Name implements Command.
func (c *notices) Name() string { return "notices" }

// Short implements Command.
func (c *notices) Short() string { return "Show the open alerts" }

// Long implements Command.
func (c *notices) Long() string {
	return `Shows the open alerts and what to do about each. Only the notifier holds them, so ask all daemons.

Example:
  basilliftctl notices --admin 10.0.1.17:7103 --all
` + exitCodesHelp
}

// Run implements Command.
func (c *notices) Run(ctx context.Context, s Streams) error {
	daemons, err := c.list()
	if err != nil {
		return err
	}
	answers := queryAll(ctx, daemons, (*bladmin.Client).Notices)
	if warnUnanswered(s, answers) == len(answers) {
		return unreadableError(errNoAnswer)
	}
	open := []blnotice.Message{}
	for _, a := range answers {
		open = append(open, a.result...)
	}
	open = oldestPerAlert(open)
	if c.JSON {
		return s.printJSON(open)
	}
	for _, m := range open {
		s.printf("%s %s since %s (id %s)\n  %s\n  do: %s\n", m.Kind, m.Subject, m.Since, m.Id, m.Detail, m.Action)
	}
	s.printf("%d open\n", len(open))
	return nil
}

// oldestPerAlert keeps the oldest notice of each alert: after a change of the notifier
// two daemons may have it open.
func oldestPerAlert(open []blnotice.Message) []blnotice.Message {
	slices.SortFunc(open, func(a, b blnotice.Message) int {
		return cmp.Or(cmp.Compare(a.Id, b.Id), cmp.Compare(a.Since, b.Since))
	})
	return slices.CompactFunc(open, func(a, b blnotice.Message) bool { return a.Id == b.Id })
}
