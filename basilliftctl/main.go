// Command basilliftctl is the command line client for operators. It validates and
// compares lists and routing tables before they are published, and queries running
// daemons. Run it with --help for the list of commands.
package main

import (
	"os"

	"basillift.dev/basilliftctl/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) }
