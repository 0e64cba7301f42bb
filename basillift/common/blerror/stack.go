// Package blerror supports the error conventions of basillift: errors are created
// with eris and wrapped with fmt.Errorf and %w. The stack trace is logged once, by
// the outermost caller.
//
// # Usage
//
//	err := fmt.Errorf("read settings: %w", eris.New("file is empty"))
//	log.Error().Err(err).Str("stack", blerror.Stack(err)).Msg("start failed")
package blerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Stack returns the stack trace of the innermost eris error in the chain, one frame per
// line, or "" if the chain contains no eris error. It unwraps the chain itself because
// eris.ToJSON treats an error wrapped by fmt.Errorf as external and drops its stack.
func Stack(err error) string {
	var lines []string
	for ; err != nil; err = errors.Unwrap(err) {
		frames := eris.StackFrames(err)
		if len(frames) == 0 {
			continue
		}
		lines = lines[:0]
		for _, f := range eris.Unpack(err).ErrRoot.Stack {
			lines = append(lines, fmt.Sprintf("%s %s:%d", f.Name, f.File, f.Line))
		}
	}
	return strings.Join(lines, "\n")
}
