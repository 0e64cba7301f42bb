package commands

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"basillift.dev/basillift/blaudit"
	"basillift.dev/basillift/bltimeline"
	"basillift.dev/basilliftlab/labdemo"
)

const recordHelp = `Records the timelines of a small mesh of real processes under one fault.

Scenarios: kill (SIGKILL and a new start), pause (SIGSTOP and SIGCONT), outage (the
platform refuses all reads) and drain (SIGTERM with calls in flight). The file gets
one JSON object a line, for "basilliftctl audit". The findings of the audit are
printed; they do not change the exit code.

Example:
  basilliftlab record --scenario kill --bin bin --out kill.jsonl
`

type recordCommand struct {
	ctx      context.Context
	Scenario string `long:"scenario" required:"true" choice:"kill" choice:"pause" choice:"outage" choice:"drain" description:"what goes wrong"`
	Mesh     string `long:"mesh" choice:"small" choice:"bindery" choice:"ponds" default:"small" description:"which mesh"`
	Bin      string `long:"bin" value-name:"DIR" default:"bin" description:"folder of basilliftd and basilliftlab"`
	Out      string `long:"out" value-name:"FILE" required:"true" description:"file of the merged timeline"`
	Seed     int64  `long:"seed" default:"1" description:"seed of the calls and work times"`
	Network  int    `long:"network" default:"21" description:"N in the addresses 127.N.y.z"`
	Logs     string `long:"logs" value-name:"DIR" description:"folder in which settings and logs are kept"`
}

func newRecordCommand(ctx context.Context) command {
	return command{"record", "Record timelines under a fault", recordHelp, &recordCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *recordCommand) Execute([]string) error {
	if c.Network < 0 || c.Network > maxNetwork {
		return fmt.Errorf("--network is %d, must be 0 to %d: %w", c.Network, maxNetwork, errUsage)
	}
	mesh, err := labdemo.NewMesh(c.Mesh, c.Network)
	if err != nil {
		return fmt.Errorf("--mesh: %w: %w", err, errUsage)
	}
	options := labdemo.NewOptions(mesh, c.Bin).WithFolder(c.Logs).WithLoad(0, 0, c.Seed)
	recorder, err := labdemo.NewRecorder(options, c.Scenario)
	if err != nil {
		return fmt.Errorf("--scenario: %w: %w", err, errUsage)
	}
	events, err := recorder.Run(c.ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilliftlab:", err)
		return fmt.Errorf("%w: %w", errStart, err)
	}
	var lines bytes.Buffer
	if err := bltimeline.Write(&lines, bltimeline.FormatJSON, events); err != nil {
		return fmt.Errorf("encode timeline: %w", err)
	}
	if err := os.WriteFile(c.Out, lines.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	report := blaudit.Check(events)
	fmt.Printf("%d events, %d bytes, %d findings, gaps %v\n", report.Events(), lines.Len(), len(report.Findings()), report.Gaps())
	for _, f := range report.Findings() {
		fmt.Printf("promise %d (%s): %s\n", f.Promise(), f.Promise(), f.Text())
	}
	return nil
}
