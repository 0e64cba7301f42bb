package blproxy

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// discardLimit bounds the bytes that are read after a refusal; it is above the size of the uploads
	// that callers send.
	discardLimit = 64 << 20
	// discardTime bounds the time for it, so that a slow sender does not hold a connection.
	discardTime = 5 * time.Second
)

// discardBody reads what is left of the request's body. fasthttp closes a
// connection on which more than 256 KB are unread, and the reset that follows
// destroys the answer before its caller can read it.
func discardBody(ctx *fasthttp.RequestCtx) {
	stream := ctx.Request.BodyStream()
	if stream == nil {
		return
	}
	_ = ctx.SetReadDeadline(time.Now().Add(discardTime))
	left, err := io.Copy(io.Discard, io.LimitReader(stream, discardLimit))
	if err != nil || left == discardLimit {
		ctx.SetConnectionClose()
	}
}
