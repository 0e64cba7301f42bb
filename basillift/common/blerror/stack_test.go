package blerror

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// Guards against losing either the identity or the stack of an eris error
// below fmt.Errorf: eris.ToJSON alone loses the stack.
func TestStack(t *testing.T) {
	sentinel := eris.New("root cause")
	wrapped := fmt.Errorf("outer step: %w", fmt.Errorf("inner step: %w", sentinel))

	t.Run("identity survives", func(t *testing.T) {
		is.New(t).True(errors.Is(wrapped, sentinel))
	})
	t.Run("stack survives", func(t *testing.T) {
		is.New(t).True(strings.Contains(Stack(wrapped), "stack_test.go"))
	})
	t.Run("no eris error", func(t *testing.T) {
		is.New(t).Equal(Stack(errors.New("plain")), "")
	})
}
