// Package blerror holds the error conventions of basillift: errors are made
// with eris, wrapped with fmt.Errorf and %w, and their stack is logged once at
// the boundary.
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

// Stack returns the stack of the innermost eris error, one frame a line, or ""
// when there is none. eris.ToJSON shows an error that fmt.Errorf wraps as external
// and drops its stack, so the chain is unwrapped here first.
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
