package commands

import "github.com/rotisserie/eris"

// errNoAnswer means that none of the queried daemons answered.
var errNoAnswer = eris.New("no daemon answered")

// The exit codes.
const (
	CodeOK = 0
	// CodeDiffers means that lists or tables have problems or differ, or that a trace breaks a promise.
	CodeDiffers = 1
	// CodeUsage means that the arguments are invalid.
	CodeUsage = 2
	// CodeUnreadable means that a file, the platform or a daemon cannot be read.
	CodeUnreadable = 3
)

// ExitError is an error with an exit code other than 0.
type ExitError struct {
	code  int
	quiet bool // the result is already printed; report prints nothing
	text  string
	cause error
}

// Code is the exit code.
func (e *ExitError) Code() int { return e.code }

// Error returns the message of the cause or, without a cause, the text.
func (e *ExitError) Error() string {
	if e.cause != nil {
		return e.cause.Error()
	}
	return e.text
}

// Unwrap returns the cause, or nil.
func (e *ExitError) Unwrap() error { return e.cause }

func usageError(text string) error { return &ExitError{code: CodeUsage, text: text} }

func unreadableError(cause error) error { return &ExitError{code: CodeUnreadable, cause: cause} }

// differsError returns the error with CodeDiffers for a command that has already printed its result.
func differsError() error {
	return &ExitError{code: CodeDiffers, quiet: true, text: "problems or differences found"}
}
