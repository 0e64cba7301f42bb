// Command basilliftd is the daemon that runs on every target VM. It proxies
// calls, speaks for the VM's target, relays configuration and is a member of the mesh.
//
// # Usage
//
//	basilliftd --settings FILE          run until SIGTERM or SIGINT
//	basilliftd --settings FILE --check  check the settings and exit
//
// The program only wires packages together; it decides nothing. Exit codes: 0
// ended in order, 1 failed or cut calls while stopping, 2 wrong flags, 3
// settings refused, 4 could not listen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog/diode"

	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
	exitListen   = 4
)

// logRing is how many log lines may wait to be written: some seconds of the lines about requests.
const logRing = 1000

type options struct {
	Settings  string `long:"settings" env:"BASILLIFT_CONFIG" value-name:"FILE" description:"settings of this daemon, JSON with comments"`
	Check     bool   `long:"check" description:"check the settings and exit"`
	Reference bool   `long:"reference" description:"print the page docs/settings.md and exit"`
	Events    bool   `long:"events" description:"print the page docs/events.md and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Example: basilliftd --settings /etc/basillift/daemon.json"
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		return exitOK
	}
	if err != nil || len(rest) > 0 {
		return exitUsage
	}
	switch {
	case o.Reference:
		return printReference()
	case o.Events:
		fmt.Print(bllog.Page())
		return exitOK
	case o.Settings == "":
		fmt.Fprintln(os.Stderr, "basilliftd: flag --settings: found nothing, allowed is a file")
		return exitUsage
	}
	settings, err := blsettings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilliftd:", err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings ok")
		return exitOK
	}
	return serve(o.Settings, settings)
}

func printReference() int {
	page, err := blsettings.Reference()
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilliftd:", err)
		return exitFailed
	}
	fmt.Print(page)
	return exitOK
}

func serve(path string, settings blsettings.Settings) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// Logging never waits for whoever reads it; what does not fit is counted.
	lines := diode.NewWriter(os.Stderr, logRing, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"message\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
	defer func() { _ = lines.Close() }()
	log, err := bllog.New(lines, settings.Level(), settings.Name())
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilliftd:", err)
		return exitSettings
	}
	err = serveBy(ctx, path, settings, log)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errListen):
		log.Failure(bllog.ListenFailed(), err)
		return exitListen
	default:
		log.Failure(bllog.StartFailed(), err)
		return exitFailed
	}
}

// serveBy runs the daemon that the settings ask for.
func serveBy(ctx context.Context, path string, settings blsettings.Settings, log *bllog.Logger) error {
	if settings.Routing() == blsettings.RoutingTable {
		r, err := buildRouted(path, settings, log)
		if err != nil {
			return err
		}
		return r.run(ctx)
	}
	d, err := build(settings, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}
