package bllog

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blerror"
)

// Logger writes numbered log events.
type Logger struct {
	logger zerolog.Logger
}

// New returns a logger that writes lines of the given level, such as "info", and above.
func New(w io.Writer, level string, vm basillift.VMID) (*Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return &Logger{logger: zerolog.New(w).Level(parsed).With().Timestamp().Str("vm", string(vm)).Logger()}, nil
}

// Event starts a line for an entry; the caller adds fields and writes the line with Send.
func (l *Logger) Event(e Entry) *zerolog.Event {
	return l.logger.WithLevel(e.level).Int("event", e.number).Str("message", e.text)
}

// Failure writes a line with an error and the stack trace of its origin. It is called once for each
// error, where the error is handled.
func (l *Logger) Failure(e Entry, err error) {
	l.Event(e).Err(err).Str("stack", blerror.Stack(err)).Send()
}
