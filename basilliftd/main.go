// Command basilliftd is the daemon that runs on every target VM. It proxies calls, announces the
// VM's target to the other daemons, relays configuration and is a member of the mesh.
//
// # Usage
//
//	basilliftd --settings FILE          run until SIGTERM or SIGINT
//	basilliftd --settings FILE --check  check the settings and exit
//
// The program only wires packages together and makes no decisions itself. Exit codes: 0 graceful
// shutdown, 1 failure or calls interrupted by the shutdown, 2 invalid flags, 3 settings refused,
// 4 could not listen.
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

	"basillift.dev/basillift/blbudget"
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

// logBufferLines is how many log lines are buffered for writing. Request logging fills it in some seconds.
const logBufferLines = 1000

type options struct {
	Settings  string `long:"settings" env:"BASILLIFT_CONFIG" value-name:"FILE" description:"settings of this daemon, JSON with comments"`
	Check     bool   `long:"check" description:"check the settings and exit"`
	Reference bool   `long:"reference" description:"print the page docs/settings.md and exit"`
	Events    bool   `long:"events" description:"print the page docs/events.md and exit"`
	processFlags
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
		fmt.Print(bllog.EventsPage())
		return exitOK
	case o.Settings == "":
		fmt.Fprintln(os.Stderr, "basilliftd: flag --settings is required: the settings file of this daemon")
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
	return serve(o.Settings, settings, o.limits(settings, openableDescriptors()))
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

func serve(path string, settings blsettings.Settings, limits blbudget.Limits) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// Logging never blocks on the reader of the log. Lines that do not fit into the buffer are dropped and counted.
	lines := diode.NewWriter(os.Stderr, logBufferLines, 0, func(dropped int) {
		fmt.Fprintf(os.Stderr, "{\"message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	})
	defer func() { _ = lines.Close() }()
	log, err := bllog.New(lines, settings.Level(), settings.Name())
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilliftd:", err)
		return exitSettings
	}
	err = runDaemon(ctx, path, settings, limits, log)
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

// runDaemon builds and runs the kind of daemon that the settings select.
func runDaemon(ctx context.Context, path string, settings blsettings.Settings, limits blbudget.Limits, log *bllog.Logger) error {
	if settings.Routing() == blsettings.RoutingTable {
		d, err := buildTableDaemon(path, settings, limits, log)
		if err != nil {
			return err
		}
		return d.run(ctx)
	}
	d, err := build(settings, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}
