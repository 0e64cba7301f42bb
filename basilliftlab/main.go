// Command basilliftlab runs stand-ins for the platform and the targets, a load
// client and the demo.
//
// # Usage
//
//	basilliftlab platform --listen 127.0.0.1:7000 --operators 127.0.0.1:7001
//	basilliftlab target --listen 127.0.1.1:7104
//	basilliftlab load --to 127.0.1.1:7104 --service catalogue --customer kobuleti
//	basilliftlab demo --mesh bindery --bin bin
package main

import (
	"os"

	"basillift.dev/basilliftlab/commands"
)

func main() { os.Exit(commands.Run(os.Args[1:])) }
