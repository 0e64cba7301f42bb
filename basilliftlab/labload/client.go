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

// uploadVariants is the number of different upload bodies; each has its own
// length and content, so that two crossed uploads are noticed.
const uploadVariants = 8

// slack is what a caller waits beyond the time limit that it sent, so that an
// answer given at the limit still arrives.
const slack = 2 * time.Second

// body is a request body with its checksum.
type body struct {
	data []byte
	sum  string
}

func newBody(data []byte) body {
	sum := sha256.Sum256(data)
	return body{data: data, sum: hex.EncodeToString(sum[:])}
}

// Client sends single calls. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	timeout   time.Duration
	uploads   []body
}

// NewClient returns a client with a time limit for each call and the size of uploads.
func NewClient(timeout time.Duration, upload int, seed int64) *Client {
	random := rand.New(rand.NewSource(seed))
	c := &Client{
		transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true},
		timeout:   timeout,
	}
	for v := range uploadVariants {
		data := make([]byte, max(1, upload-v))
		random.Read(data)
		c.uploads = append(c.uploads, newBody(data))
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) body(call Call) body {
	switch call.kind {
	case KindGet:
		return newBody(nil)
	case KindUpload:
		return c.uploads[call.variant]
	default:
		return newBody([]byte("order " + call.id))
	}
}

func (c *Client) request(ctx context.Context, call Call, b body) (*http.Request, error) {
	// The type hides the content from net/http, even when it is empty. Otherwise
	// the transport sends GETs and keyed calls again when a connection breaks, and
	// a lost call stays unseen.
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
	if call.work > 0 {
		r.Header.Set(labtarget.HeaderWork, strconv.FormatInt(call.work.Milliseconds(), 10))
	}
	if call.key != "" {
		r.Header.Set("Idempotency-Key", call.key)
	}
	return r, nil
}

// Do sends a call and judges its answer.
func (c *Client) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+slack)
	defer cancel()
	r := Result{call: call, sent: time.Now()}
	b := c.body(call)
	request, err := c.request(ctx, call, b)
	if err != nil {
		return failed(r, err)
	}
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return failed(r, err)
	}
	defer func() { _ = answer.Body.Close() }()
	r.status = answer.StatusCode
	r.outcome = basillift.Outcome(answer.Header.Get("Basillift-Outcome"))
	r.reason = basillift.Reason(answer.Header.Get("Basillift-Reason"))
	data, err := io.ReadAll(io.LimitReader(answer.Body, labtarget.MaxResponseBytes+1))
	if err != nil {
		return failed(r, err)
	}
	r.ended = time.Now()
	return judgeAnswer(r, data, b.sum, int64(len(b.data)))
}

func failed(r Result, err error) Result {
	r.ended = time.Now()
	r.verdict = judgeError(err)
	r.detail = err.Error()
	return r
}
