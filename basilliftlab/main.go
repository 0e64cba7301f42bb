// Command basilliftlab runs a simulated platform, simulated targets, a load
// generator, the demo and the bench.
//
// # Usage
//
//	basilliftlab platform --listen 127.0.0.1:7000 --operators 127.0.0.1:7001
//	basilliftlab target --listen 127.0.1.1:7104
//	basilliftlab load --to 127.0.1.1:7104 --service catalogue --customer kobuleti
//	basilliftlab demo --mesh bindery --bin bin
//	basilliftlab bench --only daemons
//	basilliftlab capacity --slopes docs/slopes.json
package main

import (
	"os"

	"basillift.dev/basilliftlab/commands"
)

func main() { os.Exit(commands.Run(os.Args[1:])) }
