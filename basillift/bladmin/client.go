package bladmin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/bltimeline"
)

const (
	requestTimeout = 5 * time.Second
	// maxResponseBytes limits the body of a daemon's response; a full timeline has about 2 MB.
	maxResponseBytes = 16 << 20
)

// ErrResponse means that a daemon responded with an error status or with a body that does not match its schema.
var ErrResponse = eris.New("unexpected response from daemon")

// Client sends requests to the admin address of one daemon. Errors wrap basillift.ErrUnavailable if the request
// fails, and ErrResponse if the response is not as expected.
type Client struct {
	address string
	http    *fasthttp.Client
}

// NewClient returns a client of the daemon with the admin address (IP:port).
func NewClient(address string) *Client {
	return &Client{address: address, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		DialTimeout: blhttp.Dial,
	}}
}

// Status returns the status of the daemon.
func (c *Client) Status() (blnode.Status, error) {
	var status blnode.Status
	err := c.getJSON("/status", &status)
	return status, err
}

// Notices returns the open alerts whose notices the daemon has sent.
func (c *Client) Notices() ([]blnotice.Message, error) {
	var notices []blnotice.Message
	err := c.getJSON("/notices", &notices)
	return notices, err
}

// Explain returns the steps that show where a call would go.
func (c *Client) Explain(customer, service, method string) ([]string, error) {
	query := url.Values{"customer": {customer}, "service": {service}, "method": {method}}
	var steps []string
	err := c.getJSON("/explain?"+query.Encode(), &steps)
	return steps, err
}

// Timeline returns the events that the daemon keeps.
func (c *Client) Timeline() ([]basillift.Event, error) {
	body, err := c.do(fasthttp.MethodGet, "/timeline")
	if err != nil {
		return nil, err
	}
	events, err := bltimeline.Read(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("timeline of %s: %w", c.address, errors.Join(ErrResponse, err))
	}
	return events, nil
}

// Drain makes the daemon begin to drain its target.
func (c *Client) Drain() error {
	_, err := c.do(fasthttp.MethodPost, "/drain")
	return err
}

func (c *Client) getJSON(path string, result any) error {
	body, err := c.do(fasthttp.MethodGet, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("decode response of %s to %s: %w", c.address, path, errors.Join(ErrResponse, err))
	}
	return nil
}

func (c *Client) do(method, path string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	if err := c.http.DoTimeout(request, response, requestTimeout); err != nil {
		return nil, fmt.Errorf("request to daemon at %s: %w", c.address, errors.Join(basillift.ErrUnavailable, err))
	}
	if response.StatusCode()/100 != 2 {
		return nil, fmt.Errorf("request to daemon at %s for %s: status %d: %s: %w",
			c.address, path, response.StatusCode(), response.Body(), ErrResponse)
	}
	return bytes.Clone(response.Body()), nil
}
