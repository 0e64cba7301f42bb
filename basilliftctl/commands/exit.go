package commands

import "github.com/rotisserie/eris"

// errNoAnswer means that none of the asked daemons answered.
var errNoAnswer = eris.New("no daemon answered")

// The exit codes.
const (
	CodeOK = 0
	// CodeDiffers means that lists have problems or differ, or that a trace breaks a promise.
	CodeDiffers = 1
	// CodeUsage means that the arguments are wrong.
	CodeUsage = 2
	// CodeUnreadable means that a file, the platform or a daemon cannot be read.
	CodeUnreadable = 3
)

// ExitError ends the program with a code other than 0.
type ExitError struct {
	code  int
	quiet bool // the result was already printed
	text  string
	cause error
}

// Code is the exit code.
func (e *ExitError) Code() int { return e.code }

// Error is what is printed.
func (e *ExitError) Error() string {
	if e.cause != nil {
		return e.cause.Error()
	}
	return e.text
}

// Unwrap returns the cause, or nil.
func (e *ExitError) Unwrap() error { return e.cause }

func usage(text string) error { return &ExitError{code: CodeUsage, text: text} }

func failure(cause error) error { return &ExitError{code: CodeUnreadable, cause: cause} }

// differs ends the program after its result was printed.
func differs() error {
	return &ExitError{code: CodeDiffers, quiet: true, text: "lists have problems or differ"}
}
