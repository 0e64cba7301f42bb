package commands

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blnode"
)

// watchInterval is the time between two queries of status --watch.
const watchInterval = 500 * time.Millisecond

// status is the command that shows the state of one daemon or of all daemons.
type status struct {
	daemonOptions
	Watch bool `long:"watch" description:"repeat until interrupted, to follow a change over the failure domains"`
	JSON  bool `long:"json" description:"print the result as JSON, one object for each daemon"`
}

// Name implements Command.
func (c *status) Name() string { return "status" }

// Short implements Command.
func (c *status) Short() string { return "Show the state of one daemon or of all daemons" }

// Long implements Command.
func (c *status) Long() string {
	return `Shows version, age, readers, target states and control bytes.

Examples:
  basilliftctl status --admin 10.0.1.17:7103
  basilliftctl status --admin 10.0.1.17:7103 --all --watch
` + exitCodesHelp
}

// Run implements Command.
func (c *status) Run(ctx context.Context, s Streams) error {
	for {
		err := c.show(ctx, s)
		if !c.Watch {
			return err
		}
		if exit, failed := errors.AsType[*ExitError](err); failed {
			s.warnf("%s\n", exit)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

func (c *status) show(ctx context.Context, s Streams) error {
	daemons, err := c.list()
	if err != nil {
		return err
	}
	answers := queryAll(ctx, daemons, (*bladmin.Client).Status)
	if c.JSON {
		for _, a := range answers {
			if a.err != nil {
				continue
			}
			if err := s.printJSON(a.result); err != nil {
				return err
			}
		}
	} else {
		c.print(s, answers)
	}
	if warnUnanswered(s, answers) == len(answers) {
		return unreadableError(errNoAnswer)
	}
	return nil
}

func (c *status) print(s Streams, answers []answer[blnode.Status]) {
	if !c.All && answers[0].err == nil {
		printOne(s, answers[0].result)
		return
	}
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.AppendHeader(table.Row{"vm", "domain", "service", "target", "ready", "version", "age", "reader", "peers", "control KB"})
	for _, a := range answers {
		if a.err != nil {
			t.AppendRow(table.Row{a.daemon.name, "", "", "no answer", "", "", "", "", "", ""})
			continue
		}
		r := a.result
		t.AppendRow(table.Row{
			r.Name, r.Domain, r.Service, r.State, r.Ready, r.Version,
			seconds(r.Age), r.Reader, r.Peers, fmt.Sprintf("%.1f", float64(controlBytes(r))/1000),
		})
	}
	t.Render()
}

func printOne(s Streams, r blnode.Status) {
	s.printf("%s in failure domain %s, service %s: target %s, ready %t\n", r.Name, r.Domain, r.Service, r.State, r.Ready)
	s.printf("version %s, digest %s, %d customers, in force for %s\n", r.Version, r.Digest, r.Customers, seconds(r.Age))
	s.printf("reads the platform: %t; readers of the failure domain: %v; platform: %s\n", r.Reader, r.Readers, r.Platform.Condition)
	if r.Platform.Problem != "" {
		s.printf("refused version %s: %s\n", r.Platform.Refused, r.Platform.Problem)
	}
	if len(r.Cut) > 0 {
		s.printf("failure domains that are cut off: %v\n", r.Cut)
	}
	for _, b := range r.Bytes {
		s.printf("control bytes for %s: %d received, %d sent\n", b.Purpose, b.Received, b.Sent)
	}
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.AppendHeader(table.Row{"member", "domain", "service", "target", "liveness", "leaving"})
	for _, m := range r.Members {
		t.AppendRow(table.Row{m.Name, m.Domain, m.Service, m.State, m.Liveness, m.Leaving})
	}
	t.Render()
}

func controlBytes(r blnode.Status) uint64 {
	var sum uint64
	for _, b := range r.Bytes {
		sum += b.Received + b.Sent
	}
	return sum
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}
