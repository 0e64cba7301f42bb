package blplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Headers of an answer.
const (
	HeaderMod   = "Platform-Mod"
	HeaderStore = "Platform-Store"
)

// Errors beside basillift.ErrNotFound and basillift.ErrUnavailable.
var (
	// ErrBudget means that the read budget of all readers is exhausted. It also is a basillift.ErrUnavailable.
	ErrBudget = eris.New("read budget exhausted")
	// ErrProtocol means that the answer does not follow the platform's protocol.
	ErrProtocol = eris.New("answer does not follow the protocol")
)

const (
	// defaultWait is how long the platform holds a watch: long enough that an idle
	// watch costs 2 calls a minute, short enough to notice a dead connection.
	defaultWait = 30 * time.Second
	// defaultTimeout bounds a read, and a watch beyond its wait. The platform answers in milliseconds.
	defaultTimeout = 3 * time.Second
)

// Client reads one platform. It implements basillift.Platform and is safe for concurrent use.
type Client struct {
	base    string
	client  *http.Client
	wait    time.Duration
	timeout time.Duration
	cache   *cache
}

var _ basillift.Platform = (*Client)(nil)

// Option changes a client's default.
type Option func(*Client)

// WithWait sets how long the platform holds a watch; it is rounded to whole seconds, at least 1.
func WithWait(wait time.Duration) Option {
	return func(c *Client) { c.wait = max(wait.Round(time.Second), time.Second) }
}

// WithTimeout sets the bound of a read, and of a watch beyond its wait.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// NewClient returns a client of the platform at a URL such as http://10.0.0.5:2400.
func NewClient(base string, options ...Option) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("parse platform URL: %w", err)
	}
	if (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, eris.Errorf("platform URL: found %q; allowed: http://HOST:PORT or https://HOST:PORT", base)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	c := &Client{
		base:    parsed.JoinPath("v1", "keys").String(),
		client:  &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		wait:    defaultWait,
		timeout: defaultTimeout,
		cache:   newCache(),
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// refuseRedirect returns a redirection as the answer, which readValue refuses: the
// protocol has none, and the address of the platform comes from settings only.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Read returns the value of a key. For a key without a value it returns
// basillift.ErrNotFound and a value that holds only key and store.
func (c *Client) Read(ctx context.Context, key string) (basillift.Value, error) {
	value, err := c.get(ctx, key, "", c.timeout)
	if err != nil {
		return value, fmt.Errorf("read %s: %w", key, err)
	}
	return value, nil
}

// Watch returns the value once its mod differs from the given one, or unchanged
// when the platform ends the wait. Mod 0 stands for a key without a value.
func (c *Client) Watch(ctx context.Context, key string, mod uint64) (basillift.Value, error) {
	query := url.Values{
		"watch": {strconv.FormatUint(mod, 10)},
		"wait":  {strconv.Itoa(int(c.wait / time.Second))},
	}
	value, err := c.get(ctx, key, "?"+query.Encode(), c.wait+c.timeout)
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/"+key+query, nil)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("make request: %w", err)
	}
	last := c.cache.last(key)
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

// readValue reads an answer. An entity tag stands for content, not for a mod:
// after a restore from a backup the platform may give a mod a second time.
func (c *Client) readValue(key string, last cached, r *http.Response) (basillift.Value, error) {
	switch r.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
	case http.StatusTooManyRequests:
		return basillift.Value{}, fmt.Errorf("%w: %w", basillift.ErrUnavailable, ErrBudget)
	case http.StatusServiceUnavailable:
		return basillift.Value{}, fmt.Errorf("platform is in an outage: %w", basillift.ErrUnavailable)
	default:
		return basillift.Value{}, fmt.Errorf("status %d: %w", r.StatusCode, ErrProtocol)
	}
	store, err := number(r, HeaderStore)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read headers: %w", err)
	}
	if r.StatusCode == http.StatusNotFound {
		return basillift.NewValue(key, nil, 0, store), basillift.ErrNotFound
	}
	mod, err := number(r, HeaderMod)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read headers: %w", err)
	}
	if mod == 0 || mod > store {
		return basillift.Value{}, fmt.Errorf("mod %d at store revision %d: %w", mod, store, ErrProtocol)
	}
	if r.StatusCode == http.StatusNotModified {
		if last.tag == "" {
			return basillift.Value{}, fmt.Errorf("not modified, but no value is known: %w", ErrProtocol)
		}
		return basillift.NewValue(key, last.data, mod, store), nil
	}
	data, err := body(r)
	if err != nil {
		return basillift.Value{}, fmt.Errorf("read body: %w", err)
	}
	value := basillift.NewValue(key, data, mod, store)
	c.cache.put(value, r.Header.Get("ETag"))
	return value, nil
}

// body reads one byte more than the limit, to tell a body of the limit from a larger one.
func body(r *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, bllist.MaxValue+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("truncated: %w", basillift.ErrUnavailable)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", basillift.ErrUnavailable, err)
	}
	if len(data) > bllist.MaxValue {
		return nil, fmt.Errorf("more than %d bytes: %w", bllist.MaxValue, ErrProtocol)
	}
	return data, nil
}

func number(r *http.Response, header string) (uint64, error) {
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
