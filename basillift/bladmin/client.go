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
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/bltimeline"
)

const (
	// requestTimeout bounds one request to a daemon.
	requestTimeout = 5 * time.Second
	// maxAnswer bounds a daemon's answer, in bytes; a full timeline has about 2 MB.
	maxResponseBytes = 16 << 20
)

// ErrResponse means that a daemon answered with an error or with something else than its schema says.
var ErrResponse = eris.New("daemon did not answer as expected")

// Client asks one daemon.
type Client struct {
	address string
	http    *fasthttp.Client
}

// NewClient returns a client of the daemon with this admin address.
func NewClient(address string) *Client {
	return &Client{address: address, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
	}}
}

// Status asks for the daemon's status.
func (c *Client) Status() (blnode.Status, error) {
	var r blnode.Status
	err := c.getJSON("/status", &r)
	return r, err
}

// Notices asks for the open alerts whose notices the daemon has sent.
func (c *Client) Notices() ([]blnotice.Message, error) {
	var m []blnotice.Message
	err := c.getJSON("/notices", &m)
	return m, err
}

// Explain asks where a call would go.
func (c *Client) Explain(customer, service, method string) ([]string, error) {
	q := url.Values{"customer": {customer}, "service": {service}, "method": {method}}
	var steps []string
	err := c.getJSON("/explain?"+q.Encode(), &steps)
	return steps, err
}

// Timeline asks for the daemon's events.
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

// Drain asks the daemon to drain its target.
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
		return fmt.Errorf("answer of %s to %s: %w", c.address, path, errors.Join(ErrResponse, err))
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
		return nil, fmt.Errorf("ask daemon at %s: %w", c.address, errors.Join(basillift.ErrUnavailable, err))
	}
	if response.StatusCode()/100 != 2 {
		return nil, fmt.Errorf("ask daemon at %s for %s: status %d: %s: %w",
			c.address, path, response.StatusCode(), response.Body(), ErrResponse)
	}
	return bytes.Clone(response.Body()), nil
}
