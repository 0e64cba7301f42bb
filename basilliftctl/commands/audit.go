package commands

import (
	"context"
	"fmt"
	"os"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blaudit"
	"basillift.dev/basillift/bltimeline"
)

// audit is the command that checks a recorded timeline against the nine promises.
type audit struct {
	JSON  bool       `long:"json" description:"print the result as JSON"`
	Input auditInput `positional-args:"yes" required:"yes"`
}

type auditInput struct {
	Trace string `positional-arg-name:"TRACE" description:"timeline as JSON lines, as the command timeline writes it"`
}

// auditResult is the JSON output of audit.
type auditResult struct {
	OK       bool           `json:"ok"`
	Events   int            `json:"events"`
	Gaps     []string       `json:"gaps"`
	Findings []auditFinding `json:"findings"`
}

type auditFinding struct {
	Promise int                `json:"promise"`
	Name    string             `json:"name"`
	Text    string             `json:"text"`
	VMs     []basillift.VMID   `json:"vms"`
	Events  []bltimeline.Entry `json:"events"`
}

// Name implements Command.
func (c *audit) Name() string { return "audit" }

// Short implements Command.
func (c *audit) Short() string { return "Check a recorded timeline against the nine promises" }

// Long implements Command.
func (c *audit) Long() string {
	return `Reads a timeline and names each broken promise with the VMs and events that break it. VMs whose
timeline misses events are listed as gaps; what happened in a gap is not checked.

Examples:
  basilliftctl audit --json trace.jsonl
  basilliftctl timeline --admin 10.0.1.17:7103 --all --format json > trace.jsonl
` + exitCodesHelp
}

// Run implements Command.
func (c *audit) Run(_ context.Context, s Streams) error {
	f, err := os.Open(c.Input.Trace)
	if err != nil {
		return unreadableError(fmt.Errorf("open trace: %w", err))
	}
	defer func() { _ = f.Close() }()
	events, err := bltimeline.Read(f)
	if err != nil {
		return unreadableError(err)
	}
	report := blaudit.Check(bltimeline.Merge(events))
	if err := c.print(s, report); err != nil {
		return err
	}
	if len(report.Findings()) > 0 {
		return differsError()
	}
	return nil
}

func (c *audit) print(s Streams, r blaudit.Report) error {
	if c.JSON {
		return s.printJSON(newAuditResult(r))
	}
	for _, vm := range r.Gaps() {
		s.printf("gap: the timeline of %s misses events\n", vm)
	}
	for _, f := range r.Findings() {
		s.printf("promise %d (%s): %s\n", f.Promise(), f.Promise(), f.Text())
		if err := bltimeline.Write(s.out, bltimeline.FormatText, f.Events()); err != nil {
			return unreadableError(err)
		}
	}
	s.printf("%d events checked, %d broken promises\n", r.Events(), len(r.Findings()))
	return nil
}

func newAuditResult(r blaudit.Report) auditResult {
	result := auditResult{OK: len(r.Findings()) == 0, Events: r.Events(), Gaps: []string{}, Findings: []auditFinding{}}
	for _, vm := range r.Gaps() {
		result.Gaps = append(result.Gaps, string(vm))
	}
	for _, f := range r.Findings() {
		finding := auditFinding{Promise: int(f.Promise()), Name: f.Promise().String(), Text: f.Text(), VMs: f.VMs()}
		for _, e := range f.Events() {
			finding.Events = append(finding.Events, bltimeline.EntryOf(e))
		}
		result.Findings = append(result.Findings, finding)
	}
	return result
}
