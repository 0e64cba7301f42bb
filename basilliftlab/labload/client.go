package labload

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labtarget"
)

// uploadVariantCount is the number of different upload bodies. Each has its own
// random content and, for uploads of at least 8 bytes, its own length, so that a
// mix-up of two uploads is detected.
const uploadVariantCount = 8

// timeoutMargin is how much longer a caller waits than the timeout that it sent, so
// that a response sent at the timeout still arrives.
const timeoutMargin = 2 * time.Second

// requestBody is a request body with its hexadecimal sha256 checksum.
type requestBody struct {
	data     []byte
	checksum string
}

func newRequestBody(data []byte) requestBody {
	sum := sha256.Sum256(data)
	return requestBody{data: data, checksum: hex.EncodeToString(sum[:])}
}

// Client sends calls and verifies their responses. It is safe for concurrent use.
type Client struct {
	transport    *http.Transport
	timeout      time.Duration
	uploadBodies []requestBody
}

// NewClient returns a client with a timeout for each call and the size of uploads.
func NewClient(timeout time.Duration, uploadBytes int, seed int64) *Client {
	random := rand.New(rand.NewSource(seed))
	c := &Client{
		transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true},
		timeout:   timeout,
	}
	for v := range uploadVariantCount {
		data := make([]byte, max(1, uploadBytes-v))
		random.Read(data)
		c.uploadBodies = append(c.uploadBodies, newRequestBody(data))
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) bodyOf(call Call) requestBody {
	switch call.kind {
	case KindGet:
		return newRequestBody(nil)
	case KindUpload:
		return c.uploadBodies[call.uploadVariant]
	default:
		return newRequestBody([]byte("order " + call.id))
	}
}

func (c *Client) newRequest(ctx context.Context, call Call, b requestBody) (*http.Request, error) {
	// The wrapper hides the type of the body from net/http, even if the body is
	// empty. Otherwise the transport itself retries GETs and keyed calls when a
	// connection breaks, and a lost call stays undetected.
	reader := struct{ io.Reader }{bytes.NewReader(b.data)}
	url := fmt.Sprintf("http://%s/%s/%s", call.address, call.service, call.kind)
	r, err := http.NewRequestWithContext(ctx, call.kind.Method(), url, reader)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.ContentLength = int64(len(b.data))
	r.Header.Set("Basillift-Customer", call.customer)
	r.Header.Set("Basillift-Timeout", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	r.Header.Set(labtarget.HeaderCall, call.id)
	if call.extraWork > 0 {
		r.Header.Set(labtarget.HeaderWork, strconv.FormatInt(call.extraWork.Milliseconds(), 10))
	}
	if call.key != "" {
		r.Header.Set("Idempotency-Key", call.key)
	}
	return r, nil
}

// Do sends a call and verifies its response.
func (c *Client) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+timeoutMargin)
	defer cancel()
	r := Result{call: call, sent: time.Now()}
	b := c.bodyOf(call)
	request, err := c.newRequest(ctx, call, b)
	if err != nil {
		return failedResult(r, err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return failedResult(r, err)
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	r.outcome = basillift.Outcome(response.Header.Get("Basillift-Outcome"))
	r.reason = basillift.Reason(response.Header.Get("Basillift-Reason"))
	data, err := io.ReadAll(io.LimitReader(response.Body, labtarget.MaxResponseBytes+1))
	if err != nil {
		return failedResult(r, err)
	}
	r.ended = time.Now()
	return verifyResponse(r, data, b.checksum, int64(len(b.data)))
}

func failedResult(r Result, err error) Result {
	r.ended = time.Now()
	r.verdict = verdictOfError(err)
	r.detail = err.Error()
	return r
}
