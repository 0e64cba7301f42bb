// Package commands holds the command line of basilliftlab, one file per command.
//
// # Usage
//
//	os.Exit(commands.Run(os.Args[1:]))
//
// Commands only validate flags, construct components and run them. Wrong flags are
// reported in one line, without a stack trace.
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

// The exit codes of basilliftlab.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitStart   = 3
	ExitStopped = 130
)

// exitCodesHelp is appended to the help texts.
const exitCodesHelp = `
Exit codes: 0 success, 1 a check failed, 2 wrong flags, 3 cannot start or run, 130 interrupted.`

// Errors that determine the exit code. A command that returns errFailed or errStart
// has already printed the cause.
var (
	errUsage  = eris.New("wrong flags")
	errFailed = eris.New("check failed")
	errStart  = eris.New("cannot start or run")
)

// Run parses the arguments, runs the command that they name and returns the exit code.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("basilliftlab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for the platform and the targets, a load client, the demo and the bench." + exitCodesHelp
	if err := addCommands(ctx, parser); err != nil {
		fmt.Fprintln(os.Stderr, "basilliftlab:", err)
		return ExitStart
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(ctx, err)
}

// command is a command as the parser needs it. The fields of options are its flags,
// and its Execute runs the command.
type command struct {
	name      string
	shortHelp string
	longHelp  string
	options   any
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
		if _, err := parser.AddCommand(c.name, c.shortHelp, c.longHelp+exitCodesHelp, c.options); err != nil {
			return fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return nil
}

func exitCode(ctx context.Context, err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return ExitOK
	}
	if !errors.Is(err, errFailed) && !errors.Is(err, errStart) {
		fmt.Fprintln(os.Stderr, "basilliftlab:", err)
	}
	switch {
	case flagsErr != nil, errors.Is(err, errUsage):
		return ExitUsage
	case ctx.Err() != nil:
		return ExitStopped
	case errors.Is(err, errFailed):
		return ExitFailed
	default:
		return ExitStart
	}
}

// newLog returns a logger that writes to standard error and adds the process name to
// each line.
func newLog(process string) zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Str("process", process).Logger()
}
