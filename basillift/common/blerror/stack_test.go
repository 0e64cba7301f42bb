package blerror

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// Guards against losing the identity or the stack trace of an eris error that is wrapped
// by fmt.Errorf. eris.ToJSON alone loses the stack trace.
func TestStack(t *testing.T) {
	sentinel := eris.New("root cause")
	wrapped := fmt.Errorf("outer step: %w", fmt.Errorf("inner step: %w", sentinel))

	t.Run("errors.Is finds the wrapped error", func(t *testing.T) {
		is.New(t).True(errors.Is(wrapped, sentinel))
	})
	t.Run("stack trace of the wrapped error", func(t *testing.T) {
		is.New(t).True(strings.Contains(Stack(wrapped), "stack_test.go"))
	})
	t.Run("no eris error", func(t *testing.T) {
		is.New(t).Equal(Stack(errors.New("plain")), "")
	})
}
