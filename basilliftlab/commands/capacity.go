package commands

import (
	"context"
	"fmt"

	"basillift.dev/basilliftlab/labbench"
	"basillift.dev/basilliftlab/labcapacity"
)

const capacityHelp = `Prints docs/CAPACITY.md from recorded slopes.

Example:
  basilliftlab bench --record docs/slopes.json
  basilliftlab capacity --slopes docs/slopes.json > docs/CAPACITY.md
`

type capacityCommand struct {
	Slopes string `long:"slopes" value-name:"FILE" default:"docs/slopes.json" description:"slopes that bench --record wrote"`
}

func newCapacityCommand(context.Context) command {
	return command{"capacity", "Print the capacity page", capacityHelp, &capacityCommand{}}
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := labbench.LoadSlopes(c.Slopes)
	if err != nil {
		return fmt.Errorf("--slopes: %w: %w", err, errUsage)
	}
	page, err := labcapacity.Page(slopes)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	fmt.Print(page)
	return nil
}
