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
	lines zerolog.Logger
}

// New returns a logger that writes lines of the given level and above.
func New(w io.Writer, level string, vm basillift.VMID) (*Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return &Logger{lines: zerolog.New(w).Level(parsed).With().Timestamp().Str("vm", string(vm)).Logger()}, nil
}

// Event starts a line; Send ends it.
func (l *Logger) Event(e Entry) *zerolog.Event {
	return l.lines.WithLevel(e.level).Int("event", e.number).Str("message", e.text)
}

// Failure writes a line with an error and the stack of its origin. It is called once, where the
// error is handled.
func (l *Logger) Failure(e Entry, err error) {
	l.Event(e).Err(err).Str("stack", blerror.Stack(err)).Send()
}
