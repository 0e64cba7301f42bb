package bltrace

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a hook that hides the one of an outer context.
func TestAnswerBegunCallsAllHooks(t *testing.T) {
	var called []string
	outer := WithAnswerBegun(context.Background(), func() { called = append(called, "outer") })
	inner := WithAnswerBegun(outer, func() { called = append(called, "inner") })
	AnswerBegun(inner)
	is.New(t).Equal(called, []string{"inner", "outer"})
}

func TestAnswerBegunWithoutHook(t *testing.T) {
	AnswerBegun(context.Background())
}
