// Package commands holds the command line of basilliftlab, one file a command.
//
// # Usage
//
//	os.Exit(commands.Run(os.Args[1:]))
//
// Commands only check flags, build parts and run them. A user's mistake prints
// one line; it never prints a stack.
package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// The exit codes.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitStart   = 3
	ExitStopped = 130
)

// exitCodes is shown by --help.
const exitCodes = `
Exit codes: 0 success, 1 a check failed, 2 wrong flags, 3 cannot start or run, 130 interrupted.`

// Errors that decide the exit code. A command that returns errFailed or errStart
// has printed what failed.
var (
	errUsage  = eris.New("wrong flags")
	errFailed = eris.New("check failed")
	errStart  = eris.New("cannot start or run")
)

// Run runs the command that the arguments name and returns the exit code.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("basilliftlab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for the platform and the targets, a load client, the demo and the bench." + exitCodes
	if err := addCommands(ctx, parser); err != nil {
		fmt.Fprintln(os.Stderr, "basilliftlab:", err)
		return ExitStart
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(ctx, err)
}

// command is one file of this package.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func addCommands(ctx context.Context, parser *flags.Parser) error {
	commands := []command{
		newPlatformCommand(ctx),
		newTargetCommand(ctx),
		newLoadCommand(ctx),
		newDemoCommand(ctx),
		newRecordCommand(ctx),
		newBenchCommand(ctx),
		newCapacityCommand(ctx),
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long+exitCodes, c.data); err != nil {
			return fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return nil
}

func exitCode(ctx context.Context, err error) int {
	var wrong *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Println(wrong.Message)
		return ExitOK
	}
	if !errors.Is(err, errFailed) && !errors.Is(err, errStart) {
		fmt.Fprintln(os.Stderr, "basilliftlab:", err)
	}
	switch {
	case wrong != nil, errors.Is(err, errUsage):
		return ExitUsage
	case ctx.Err() != nil:
		return ExitStopped
	case errors.Is(err, errFailed):
		return ExitFailed
	default:
		return ExitStart
	}
}

// newLog returns the log of a process, written to standard error.
func newLog(process string) zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Str("process", process).Logger()
}
