package commands

import (
	"context"
	"fmt"
	"strings"

	"basillift.dev/basilliftlab/labdemo"
)

const demoHelp = `Runs a mesh of real processes on loopback and checks the promises.

Starts the platform, targets and daemons, sends calls, edits the lists ten
times, drains a target, kills a daemon and stops another. The last line begins
with "demo ok:" or "demo failed:". All processes that it started are ended.

Example:
  basilliftlab demo --mesh bindery --bin bin
  basilliftlab demo --mesh ponds --bin bin --rate 400 --logs /tmp/demo-logs
`

// maxNetwork is the largest second octet of an IPv4 address, the N in 127.N.y.z.
const maxNetwork = 255

type demoCommand struct {
	ctx     context.Context
	Mesh    string  `long:"mesh" choice:"bindery" choice:"ponds" default:"bindery" description:"which company's mesh"`
	Bin     string  `long:"bin" value-name:"DIR" default:"bin" description:"folder of basilliftd and basilliftlab"`
	Rate    float64 `long:"rate" default:"200" description:"calls/s"`
	Upload  int     `long:"upload" default:"1048576" description:"bytes of an upload"`
	Seed    int64   `long:"seed" default:"1" description:"seed of the calls and work times"`
	Network int     `long:"network" default:"20" description:"N in the addresses 127.N.y.z"`
	Logs    string  `long:"logs" value-name:"DIR" description:"folder in which settings and logs are kept"`
}

func newDemoCommand(ctx context.Context) command {
	return command{"demo", "Run a mesh and check the promises", demoHelp, &demoCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Rate <= 0 || c.Upload < 1 {
		return fmt.Errorf("--rate and --upload must be above 0: %w", errUsage)
	}
	if c.Network < 0 || c.Network > maxNetwork {
		return fmt.Errorf("--network is %d, must be 0 to %d: %w", c.Network, maxNetwork, errUsage)
	}
	mesh, err := labdemo.NewMesh(c.Mesh, c.Network)
	if err != nil {
		return fmt.Errorf("--mesh: %w: %w", err, errUsage)
	}
	options := labdemo.NewOptions(mesh, c.Bin).WithFolder(c.Logs).WithLoad(c.Rate, c.Upload, c.Seed)
	report, err := labdemo.New(options).Run(c.ctx)
	if err != nil {
		printFailure(c.ctx, err)
		return fmt.Errorf("%w: %w", errStart, err)
	}
	fmt.Println(report.Table())
	fmt.Println(report.Line())
	if !report.OK() {
		return errFailed
	}
	return nil
}

// printFailure prints the last line of a demo that did not complete.
func printFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		fmt.Println("demo failed: interrupted")
		return
	}
	fmt.Println("demo failed:", strings.ReplaceAll(err.Error(), "\n", "; "))
}
