package commands

import (
	"context"
	"fmt"

	"basillift.dev/basilliftlab/labplatform"
)

const platformHelp = `Runs a stand-in for the platform that basillift reads.

Readers use GET /v1/keys/{key} on the first address. The operators' address
takes PUT /v1/keys/{key}, POST /v1/faults and GET /v1/stats.

Example:
  basilliftlab platform --listen 127.0.0.1:7000 --operators 127.0.0.1:7001
  curl -X PUT --data @plans.json http://127.0.0.1:7001/v1/keys/plans
  curl -X POST --data '{"outage":true}' http://127.0.0.1:7001/v1/faults
`

type platformCommand struct {
	ctx       context.Context
	Listen    string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"address for readers"`
	Operators string `long:"operators" value-name:"IP:PORT" default:"127.0.0.1:7001" description:"address for operators and checks"`
	Budget    int    `long:"budget" default:"2000" description:"read budget in calls/s over all readers"`
	Seed      int64  `long:"seed" default:"1" description:"seed of the random choice of older answers"`
}

func newPlatformCommand(ctx context.Context) command {
	return command{"platform", "Run a stand-in for the platform", platformHelp, &platformCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	if c.Budget < 1 {
		return fmt.Errorf("--budget is %d, must be 1 or more: %w", c.Budget, errUsage)
	}
	options := labplatform.NewOptions(c.Listen, c.Operators).
		WithBudget(c.Budget).WithSeed(c.Seed).WithLog(newLog("platform"))
	if err := labplatform.New(options).Run(c.ctx); err != nil {
		return fmt.Errorf("run platform: %w", err)
	}
	return nil
}
