package commands

import (
	"cmp"
	"context"
	"slices"

	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blnotice"
)

// notices shows the open matters.
type notices struct {
	daemons
	JSON bool `long:"json" description:"print the notices as JSON"`
}

// Name implements Command.
func (c *notices) Name() string { return "notices" }

// Short implements Command.
func (c *notices) Short() string { return "Show what needs a human" }

// Long implements Command.
func (c *notices) Long() string {
	return `Shows the open matters with what to do. Only the notifier holds them, so ask all daemons.

Example:
  basilliftctl notices --admin 10.0.1.17:7103 --all
` + exitCodes
}

// Run implements Command.
func (c *notices) Run(ctx context.Context, s Streams) error {
	all, err := c.list()
	if err != nil {
		return err
	}
	answers := askAll(ctx, all, (*bladmin.Client).Notices)
	if unanswered(s, answers) == len(answers) {
		return failure(errNoAnswer)
	}
	open := []blnotice.Message{}
	for _, a := range answers {
		open = append(open, a.result...)
	}
	open = oldestOfEach(open)
	if c.JSON {
		return s.printJSON(open)
	}
	for _, m := range open {
		s.printf("%s %s since %s (id %s)\n  %s\n  do: %s\n", m.Kind, m.Subject, m.Since, m.Id, m.Detail, m.Action)
	}
	s.printf("%d open\n", len(open))
	return nil
}

// oldestOfEach keeps the oldest notice of each matter: after a change of the
// notifier two daemons may hold it.
func oldestOfEach(open []blnotice.Message) []blnotice.Message {
	slices.SortFunc(open, func(a, b blnotice.Message) int {
		return cmp.Or(cmp.Compare(a.Id, b.Id), cmp.Compare(a.Since, b.Since))
	})
	return slices.CompactFunc(open, func(a, b blnotice.Message) bool { return a.Id == b.Id })
}
