// Package bltrace tells whoever waits for an answer that it has begun to arrive, like net/http/httptrace. An answer that
// arrives slowly is not lost, so a time-out that is meant for lost answers must not end its transfer.
//
// # Usage
//
//	ctx = bltrace.WithAnswerBegun(ctx, func() { timer.Stop() })
//	page, err := registry.Changes(ctx, revision, wait, timeout)
package bltrace

import "context"

type answerBegunKey struct{}

// WithAnswerBegun returns a context that makes a client call f once the answer to its request begins to arrive. A function
// that ctx already has is called, too. f may be called more than once if the client asks several servers, and by several
// goroutines.
func WithAnswerBegun(ctx context.Context, f func()) context.Context {
	outer, _ := ctx.Value(answerBegunKey{}).(func())
	return context.WithValue(ctx, answerBegunKey{}, func() {
		f()
		if outer != nil {
			outer()
		}
	})
}

// AnswerBegun is called by a client when the content that was asked for begins to arrive.
func AnswerBegun(ctx context.Context) {
	if f, ok := ctx.Value(answerBegunKey{}).(func()); ok {
		f()
	}
}
