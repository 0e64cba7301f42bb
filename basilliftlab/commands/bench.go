package commands

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"basillift.dev/basilliftlab/labbench"
)

const benchHelp = `Measures the control side of the daemon on loopback.

Starts meshes of several sizes in this process, with real control sides of
daemons and the platform's stand-in, and measures convergence time, control
bytes, reads of the platform, CPU time and memory. Prints tables with slopes and
writes samples as JSON lines and plots to a folder.

Example:
  basilliftlab bench
  basilliftlab bench --only customers --seed 7 --out /tmp/bench
`

type benchCommand struct {
	ctx     context.Context
	Only    string `long:"only" value-name:"NAME" description:"run one experiment"`
	Out     string `long:"out" value-name:"DIR" default:"out/bench" description:"folder of samples and plots"`
	Record  string `long:"record" value-name:"FILE" description:"write the slopes of the run to a file, for docs/CAPACITY.md"`
	Seed    int64  `long:"seed" default:"1" description:"seed of lists, changes and daemons"`
	Network int    `long:"network" default:"40" description:"N in the addresses 127.N.y.z"`
	Large   bool   `long:"large" description:"also measure 256 daemons"`
}

func newBenchCommand(ctx context.Context) command {
	long := benchHelp + "\nExperiments: " + strings.Join(labbench.Names(), ", ") + "."
	return command{"bench", "Measure convergence, bytes, reads and resources", long, &benchCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	if c.Network < 0 || c.Network > maxNetwork {
		return fmt.Errorf("--network is %d, must be 0 to %d: %w", c.Network, maxNetwork, errUsage)
	}
	if c.Only != "" && !slices.Contains(labbench.Names(), c.Only) {
		return fmt.Errorf("--only is %q, must be one of %s: %w", c.Only, strings.Join(labbench.Names(), ", "), errUsage)
	}
	options := labbench.NewOptions(c.Out).WithOnly(c.Only).WithSeed(c.Seed).WithNetwork(c.Network).
		WithLarge(c.Large).WithCommand(c.commandLine())
	report, err := labbench.New(options).Run(c.ctx)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	fmt.Println(report.Table())
	if err := report.Save(); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	if c.Record == "" {
		return nil
	}
	if err := report.Record(c.Record, runtime.NumCPU()); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}

// commandLine returns the command with the flags that select the measurements, as a
// user would type it.
func (c *benchCommand) commandLine() string {
	line := "basilliftlab bench"
	if c.Only != "" {
		line += " --only " + c.Only
	}
	if c.Large {
		line += " --large"
	}
	return fmt.Sprintf("%s --seed %d", line, c.Seed)
}
