// Command basilliftctl is the operators' client: it checks and compares lists
// before they are published, and shows what the daemons do. Run it with --help.
package main

import (
	"os"

	"basillift.dev/basilliftctl/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) }
