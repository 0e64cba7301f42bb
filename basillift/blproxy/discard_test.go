package blproxy

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// TestRefusedUploadIsAnswered guards against a refusal that is lost in a connection reset, because
// fasthttp closed a connection with an unread body.
func TestRefusedUploadIsAnswered(t *testing.T) {
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ran") })
	caller, _ := startPair(t, target, nil)
	const size = 8 << 20
	head := fmt.Sprintf("PUT /secret/x%sContent-Length: %d\r\n\r\n", requestHead, size)
	c, reader := dialCaller(t, caller, head)
	_, err := io.Copy(c, io.LimitReader(zeros{}, size))
	requireNoError(t, err)
	response := readResponse(t, reader)
	is.New(t).Equal(response.StatusCode()/100, 4)
	is.New(t).Equal(string(response.Header.Peek(HeaderOutcome)), string(basillift.OutcomeNotRun))
}

// TestDrainEndsUnderLoad guards against a drain that never ends because a caller sends calls
// without a pause.
func TestDrainEndsUnderLoad(t *testing.T) {
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ran") })
	caller, _ := startPair(t, target, func(s Settings) Settings { return s.WithDrainLinger(100 * time.Millisecond) })
	// Only a drain that does not end reaches this timeout; it would then cancel calls.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	loader := &repeater{daemon: caller, stop: make(chan struct{}), done: make(chan struct{})}
	go loader.run(t)
	is.New(t).Equal(caller.Drain(ctx), 0)
	is.New(t).NoErr(ctx.Err())
	close(loader.stop)
	<-loader.done
}

// repeater sends calls without a pause.
type repeater struct {
	daemon *daemon
	stop   chan struct{}
	done   chan struct{}
}

func (r *repeater) run(t *testing.T) {
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			return
		default:
			_, _ = r.daemon.try(t, "GET", "/catalogue/x", "")
		}
	}
}
