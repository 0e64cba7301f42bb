package blplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/bllist"
)

// Headers of a response. Both hold a decimal number: the modification revision of the
// value and the revision of the store.
const (
	HeaderModRevision   = "Platform-Mod"
	HeaderStoreRevision = "Platform-Store"
)

// Errors in addition to basillift.ErrNotFound and basillift.ErrUnavailable.
var (
	// ErrBudget means that the read budget shared by all readers is exhausted. It is
	// returned together with basillift.ErrUnavailable.
	ErrBudget = eris.New("read budget exhausted")
	// ErrProtocol means that the response violates the platform's protocol.
	ErrProtocol = eris.New("answer does not follow the protocol")
)

const (
	// defaultWatchWait is how long the platform keeps a watch open without a change.
	// At 30 s an idle watch costs 2 requests per minute, and a dead connection is still
	// noticed soon.
	defaultWatchWait = 30 * time.Second
	// defaultTimeout is the timeout of a read. A watch gets this time in addition to its
	// wait. The platform normally responds within milliseconds.
	defaultTimeout = 3 * time.Second
)

// Client reads keys from a platform over HTTP. It implements basillift.Platform and is
// safe for concurrent use.
type Client struct {
	keysURL   string
	client    *http.Client
	watchWait time.Duration
	timeout   time.Duration
	cache     *cache
}

var _ basillift.Platform = (*Client)(nil)

// Option changes a default of a Client.
type Option func(*Client)

// WithWait sets how long the platform keeps a watch open without a change. The wait is
// rounded to whole seconds and is at least 1 s. The default is 30 s.
func WithWait(wait time.Duration) Option {
	return func(c *Client) { c.watchWait = max(wait.Round(time.Second), time.Second) }
}

// WithTimeout sets the timeout of a read. A watch gets this time in addition to its
// wait. The default is 3 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// NewClient returns a client for the platform at a URL such as http://10.0.0.5:2400.
// Close releases its connections.
func NewClient(base string, options ...Option) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("parse platform URL: %w", err)
	}
	if (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, eris.Errorf("platform URL: found %q; allowed: http://HOST:PORT or https://HOST:PORT", base)
	}
	transport := blhttp.CheckResponses(&http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}, &net.Dialer{})
	c := &Client{
		keysURL:   parsed.JoinPath("v1", "keys").String(),
		client:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		watchWait: defaultWatchWait,
		timeout:   defaultTimeout,
		cache:     newCache(),
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// refuseRedirect makes the HTTP client return a redirect as the response, which
// readValue refuses. The protocol has no redirects, and the address of the platform
// must come from the settings only.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. It does not cancel running requests.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Read returns the value of a key. For a key without a value it returns
// basillift.ErrNotFound and a value with only the key and the store revision.
func (c *Client) Read(ctx context.Context, key string) (basillift.Value, error) {
	value, err := c.get(ctx, key, "", c.timeout)
	if err != nil {
		return value, fmt.Errorf("read %s: %w", key, err)
	}
	return value, nil
}

// Watch returns the value as soon as its modification revision differs from the given
// one, or the unchanged value when the wait ends. Revision 0 stands for a key without a
// value.
func (c *Client) Watch(ctx context.Context, key string, modRevision uint64) (basillift.Value, error) {
	query := url.Values{
		"watch": {strconv.FormatUint(modRevision, 10)},
		"wait":  {strconv.Itoa(int(c.watchWait / time.Second))},
	}
	value, err := c.get(ctx, key, "?"+query.Encode(), c.watchWait+c.timeout)
	if err != nil {
		return value, fmt.Errorf("watch %s: %w", key, err)
	}
	return value, nil
}

func (c *Client) get(ctx context.Context, key, query string, timeout time.Duration) (basillift.Value, error) {
	if !validKey(key) {
		return basillift.Value{}, eris.Errorf("key: found %q; allowed: letters, digits, dots and hyphens", key)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.keysURL+"/"+key+query, nil)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("make request: %w", err)
	}
	last := c.cache.get(key)
	if last.tag != "" {
		request.Header.Set("If-None-Match", last.tag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("%w: %w", basillift.ErrUnavailable, err)
	}
	value, err := c.readValue(key, last, response)
	if closeErr := response.Body.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("%w: %w", basillift.ErrUnavailable, closeErr)
	}
	return value, err
}

// readValue decodes a response. Whether a value is unchanged follows from the entity
// tag and not from the modification revision, because the platform may use the same
// revision again after it was restored from a backup.
func (c *Client) readValue(key string, last cachedValue, r *http.Response) (basillift.Value, error) {
	switch r.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
	case http.StatusTooManyRequests:
		return basillift.Value{}, fmt.Errorf("%w: %w", basillift.ErrUnavailable, ErrBudget)
	case http.StatusServiceUnavailable:
		return basillift.Value{}, fmt.Errorf("platform is in an outage: %w", basillift.ErrUnavailable)
	default:
		return basillift.Value{}, fmt.Errorf("status %d: %w", r.StatusCode, ErrProtocol)
	}
	storeRevision, err := uintHeader(r, HeaderStoreRevision)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read headers: %w", err)
	}
	if r.StatusCode == http.StatusNotFound {
		return basillift.NewValue(key, nil, 0, storeRevision), basillift.ErrNotFound
	}
	modRevision, err := uintHeader(r, HeaderModRevision)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read headers: %w", err)
	}
	if modRevision == 0 || modRevision > storeRevision {
		return basillift.Value{}, fmt.Errorf("modification revision %d at store revision %d: %w", modRevision, storeRevision, ErrProtocol)
	}
	if r.StatusCode == http.StatusNotModified {
		if last.tag == "" {
			return basillift.Value{}, fmt.Errorf("not modified, but no value is known: %w", ErrProtocol)
		}
		return basillift.NewValue(key, last.data, modRevision, storeRevision), nil
	}
	data, err := readBody(r)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read body: %w", err)
	}
	value := basillift.NewValue(key, data, modRevision, storeRevision)
	c.cache.put(value, r.Header.Get("ETag"))
	return value, nil
}

// readBody reads up to one byte more than the limit, to distinguish a body of exactly
// the limit from a larger one.
func readBody(r *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, bllist.MaxValueBytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("truncated: %w", basillift.ErrUnavailable)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", basillift.ErrUnavailable, err)
	}
	if len(data) > bllist.MaxValueBytes {
		return nil, fmt.Errorf("more than %d bytes: %w", bllist.MaxValueBytes, ErrProtocol)
	}
	return data, nil
}

func uintHeader(r *http.Response, header string) (uint64, error) {
	text := r.Header.Get(header)
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: found %q; allowed: a decimal number: %w", header, text, ErrProtocol)
	}
	return value, nil
}

func validKey(key string) bool {
	if key == "" || key == "." || key == ".." {
		return false
	}
	for _, c := range []byte(key) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-':
		default:
			return false
		}
	}
	return true
}
