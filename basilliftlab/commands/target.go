package commands

import (
	"context"
	"fmt"
	"os"
	"time"

	"basillift.dev/basilliftlab/labtarget"
)

const targetHelp = `Runs a stand-in for one server of a service.

SIGTERM drains it: new calls are refused as not run, running ones end.
A request with the header "Lab-Crash: true" ends the process with exit code 70.

Example:
  basilliftlab target --name vm1 --listen 127.0.1.1:7104 --slots 10 --work 2ms
  curl -H 'Lab-Call: a1' http://127.0.1.1:7104/leather
  curl http://127.0.1.1:7104/load
`

// exitCrash is the exit code of a crash that a request asked for with Lab-Crash.
const exitCrash = 70

type targetCommand struct {
	ctx         context.Context
	Name        string        `long:"name" default:"target" description:"name in answers"`
	Listen      string        `long:"listen" value-name:"IP:PORT" default:"127.0.1.1:7104" description:"address"`
	Slots       int           `long:"slots" default:"10" description:"calls that run at once"`
	Connections int           `long:"connections" default:"130" description:"open connections; more are closed"`
	Cost        time.Duration `long:"cost" default:"1ms" description:"cost of a new connection"`
	Queue       int           `long:"queue" default:"20" description:"calls that wait for a slot; more are shed"`
	Cold        time.Duration `long:"cold" default:"0s" description:"time after the start in which calls are refused"`
	Work        time.Duration `long:"work" default:"2ms" description:"median work time"`
	Spread      float64       `long:"spread" default:"0.5" description:"spread of the work time (log-normal sigma)"`
	Seed        int64         `long:"seed" default:"1" description:"seed of the work time"`
}

func newTargetCommand(ctx context.Context) command {
	return command{"target", "Run a stand-in for a target", targetHelp, &targetCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	if c.Slots < 1 || c.Connections < 1 || c.Queue < 0 || c.Spread < 0 {
		return fmt.Errorf("--slots and --connections must be 1 or more, --queue and --spread 0 or more: %w", errUsage)
	}
	options := labtarget.NewOptions(c.Name, c.Listen).
		WithLimits(c.Slots, c.Connections, c.Queue).
		WithDelays(c.Cost, c.Cold).
		WithWork(c.Work, c.Spread, c.Seed).
		WithLog(newLog("target")).
		WithCrash(func() { os.Exit(exitCrash) })
	if err := labtarget.New(options, time.Now()).Run(c.ctx); err != nil {
		return fmt.Errorf("run target: %w", err)
	}
	return nil
}
