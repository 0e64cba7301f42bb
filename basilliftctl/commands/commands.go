// Package commands holds the commands of basilliftctl, one file each.
//
// # Usage
//
// To add a command, write a file with a type that implements Command and add it
// to All. Its options are the fields with go-flags tags; Run gets them parsed.
// Run prints results to the given Streams and returns an ExitError, made with
// failure, usage or differs, for any code but 0.
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
	// Short is one line for the list of commands.
	Short() string
	// Long describes the command, with an example and its exit codes.
	Long() string
	Run(ctx context.Context, s Streams) error
}

// All returns the commands in the order of the help page.
func All() []Command {
	return []Command{
		&check{}, &diff{}, &status{}, &explain{}, &timeline{}, &audit{}, &notices{}, &drain{},
	}
}

// Streams are where a command prints.
type Streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command that the arguments name and returns the exit code.
func Main(arguments []string, out, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := Streams{out: out, err: errors}
	err := run(ctx, arguments, s)
	return s.report(err)
}

func run(ctx context.Context, arguments []string, s Streams) error {
	parser := flags.NewNamedParser("basilliftctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "basilliftctl checks and compares the lists of basillift and shows what its daemons do."
	commands := make(map[string]Command)
	for _, c := range All() {
		if _, err := parser.AddCommand(c.Name(), c.Short(), c.Long(), c); err != nil {
			return fmt.Errorf("add command %s: %w", c.Name(), err)
		}
		commands[c.Name()] = c
	}
	rest, err := parser.ParseArgs(arguments)
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(s.out, help.Message)
		return nil
	}
	if err != nil {
		return usage(err.Error())
	}
	if len(rest) > 0 {
		return usage(fmt.Sprintf("argument %q: found an argument; allowed: options only", rest[0]))
	}
	if err := commands[parser.Active.Name].Run(ctx, s); err != nil {
		return fmt.Errorf("%s: %w", parser.Active.Name, err)
	}
	return nil
}

// warnf prints what is wrong but does not end the command.
func (s Streams) warnf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.err, "basilliftctl: "+format, values...)
}

// report prints an error as one line, without a stack, and returns the exit code.
func (s Streams) report(err error) int {
	if err == nil {
		return CodeOK
	}
	exit, ok := errors.AsType[*ExitError](err)
	if !ok {
		exit = &ExitError{code: CodeUnreadable}
	}
	if !exit.quiet {
		_, _ = fmt.Fprintf(s.err, "basilliftctl: %s\n", err)
	}
	return exit.code
}
