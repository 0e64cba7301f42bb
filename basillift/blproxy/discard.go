package blproxy

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxDiscardBytes bounds the bytes that are read after a refusal. It is above the size of the
	// uploads that callers send.
	maxDiscardBytes = 64 << 20
	// maxDiscardTime bounds the duration of the read, so that a slow sender does not occupy a
	// connection.
	maxDiscardTime = 5 * time.Second
)

// discardBody reads the rest of the request body. fasthttp closes a connection on which more than
// 256 KB are unread, and the resulting reset can destroy the response before the caller has read
// it.
func discardBody(ctx *fasthttp.RequestCtx) {
	stream := ctx.Request.BodyStream()
	if stream == nil {
		return
	}
	_ = ctx.SetReadDeadline(time.Now().Add(maxDiscardTime))
	discarded, err := io.Copy(io.Discard, io.LimitReader(stream, maxDiscardBytes))
	if err != nil || discarded == maxDiscardBytes {
		ctx.SetConnectionClose()
	}
}
