// Package commands implements the commands of basilliftctl, one file for each command.
//
// # Usage
//
// To add a command, write a file with a type that implements Command and add it
// to All. The options are the fields with go-flags tags, which are parsed before Run
// is called. Run prints its result to the given Streams. For any exit code but 0 it
// returns an ExitError, made with unreadableError, usageError or differsError.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Command is one command of basilliftctl.
type Command interface {
	Name() string
	// Short is the one-line description in the list of commands.
	Short() string
	// Long is the description on the command's help page, with examples and the exit codes.
	Long() string
	Run(ctx context.Context, s Streams) error
}

// All returns all commands. The help page lists them by name.
func All() []Command {
	return []Command{
		&check{}, &diff{}, &status{}, &explain{}, &timeline{}, &audit{}, &notices{}, &drain{},
	}
}

// Streams are the standard output and standard error of a command.
type Streams struct {
	out    io.Writer
	errOut io.Writer
}

// Main runs the command given by the arguments and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := Streams{out: out, errOut: errOut}
	err := run(ctx, arguments, s)
	return s.report(err)
}

func run(ctx context.Context, arguments []string, s Streams) error {
	parser := flags.NewNamedParser("basilliftctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "basilliftctl checks and compares the lists of basillift and shows what its daemons do."
	byName := make(map[string]Command)
	for _, c := range All() {
		if _, err := parser.AddCommand(c.Name(), c.Short(), c.Long(), c); err != nil {
			return fmt.Errorf("add command %s: %w", c.Name(), err)
		}
		byName[c.Name()] = c
	}
	remaining, err := parser.ParseArgs(arguments)
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(s.out, help.Message)
		return nil
	}
	if err != nil {
		return usageError(err.Error())
	}
	if len(remaining) > 0 {
		return usageError(fmt.Sprintf("unexpected argument %q; allowed: options only", remaining[0]))
	}
	if err := byName[parser.Active.Name].Run(ctx, s); err != nil {
		return fmt.Errorf("%s: %w", parser.Active.Name, err)
	}
	return nil
}

// warnf prints a warning to standard error.
func (s Streams) warnf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.errOut, "basilliftctl: "+format, values...)
}

// report prints err on one line, without a stack trace, and returns the exit code.
func (s Streams) report(err error) int {
	if err == nil {
		return CodeOK
	}
	exit, ok := errors.AsType[*ExitError](err)
	if !ok {
		exit = &ExitError{code: CodeUnreadable}
	}
	if !exit.quiet {
		_, _ = fmt.Fprintf(s.errOut, "basilliftctl: %s\n", err)
	}
	return exit.code
}
