package blplatform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// answer is the response of a test server to each request. Empty headers are omitted.
type answer struct {
	status int
	mod    string
	store  string
	body   string
	length string
}

func (a answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	for h, v := range map[string]string{HeaderModRevision: a.mod, HeaderStoreRevision: a.store, "Content-Length": a.length} {
		if v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(a.body))
}

func serve(t *testing.T, h http.Handler, options ...Option) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c, err := NewClient(server.URL, options...)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

// Guards against returning a value from a response that has none: an error status, a
// redirect, invalid headers, or a truncated or oversized body.
func TestReadRefusals(t *testing.T) {
	cases := []struct {
		name   string
		answer answer
		want   error
	}{
		{"absent", answer{status: 404, store: "9"}, basillift.ErrNotFound},
		{"budget", answer{status: 429}, ErrBudget},
		{"budget is unavailable", answer{status: 429}, basillift.ErrUnavailable},
		{"outage", answer{status: 503}, basillift.ErrUnavailable},
		{"other status", answer{status: 302}, ErrProtocol},
		{"no mod", answer{status: 200, store: "9"}, ErrProtocol},
		{"no store", answer{status: 200, mod: "3"}, ErrProtocol},
		{"negative mod", answer{status: 200, mod: "-3", store: "9"}, ErrProtocol},
		{"mod 0", answer{status: 200, mod: "0", store: "9"}, ErrProtocol},
		{"mod above store", answer{status: 200, mod: "10", store: "9"}, ErrProtocol},
		{"body above the limit", answer{status: 200, mod: "3", store: "9", body: strings.Repeat("x", bllist.MaxValueBytes+1)}, ErrProtocol},
		{"truncated body", answer{status: 200, mod: "3", store: "9", body: "{", length: "50"}, basillift.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := serve(t, c.answer).Read(context.Background(), "customers")
			is.New(t).True(errors.Is(err, c.want))
		})
	}
	t.Run("redirection", func(t *testing.T) {
		elsewhere := serve(t, answer{status: 200, mod: "3", store: "9", body: "{}"})
		_, err := serve(t, http.RedirectHandler(elsewhere.keysURL+"/customers", http.StatusFound)).Read(context.Background(), "customers")
		is.New(t).True(errors.Is(err, ErrProtocol))
	})
	t.Run("no server", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		c, err := NewClient(server.URL)
		is := is.New(t)
		is.NoErr(err)
		_, err = c.Read(context.Background(), "customers")
		is.True(errors.Is(err, basillift.ErrUnavailable))
	})
}

// Guards against requests that violate the protocol, and against responses that are
// decoded incompletely.
func TestRequests(t *testing.T) {
	var requested string
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = r.Method + " " + r.URL.String()
		answer{status: 200, mod: "3", store: "9", body: "{}"}.ServeHTTP(w, r)
	})
	c := serve(t, handler, WithWait(7*time.Second))
	t.Run("read", func(t *testing.T) {
		is := is.New(t)
		v, err := c.Read(context.Background(), "customers.1")
		is.NoErr(err)
		is.Equal(requested, "GET /v1/keys/customers.1")
		is.Equal(v, basillift.NewValue("customers.1", []byte("{}"), 3, 9))
	})
	t.Run("watch", func(t *testing.T) {
		is := is.New(t)
		_, err := c.Watch(context.Background(), "plans", 3)
		is.NoErr(err)
		is.Equal(requested, "GET /v1/keys/plans?wait=7&watch=3")
	})
	t.Run("key with other characters", func(t *testing.T) {
		for _, k := range []string{"", "..", "a/b", "a?watch=1", "a b"} {
			_, err := c.Read(context.Background(), k)
			is.New(t).True(err != nil)
		}
	})
	t.Run("URL without a host", func(t *testing.T) {
		for _, u := range []string{"", "platform:2400", "ftp://platform", "http://"} {
			_, err := NewClient(u)
			is.New(t).True(err != nil)
		}
	})
}

// Guards against a watch that continues after its context was canceled.
func TestCancelledWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	blocked := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := serve(t, blocked).Watch(ctx, "plans", 3)
	is.New(t).True(errors.Is(err, context.Canceled))
}

// Guards against transferring an unchanged value again, against treating a changed value
// as unchanged because the platform used its modification revision twice, and against
// accepting a 304 for a value that is not cached.
func TestConditionalRead(t *testing.T) {
	is := is.New(t)
	body, sent := "first", 0
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderModRevision, "3")
		w.Header().Set(HeaderStoreRevision, "9")
		w.Header().Set("ETag", `"`+body+`"`)
		if r.Header.Get("If-None-Match") == `"`+body+`"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(body))
	}))
	for range 3 {
		v, err := c.Read(context.Background(), "plans")
		is.NoErr(err)
		is.Equal(string(v.Data()), "first")
		is.Equal(v.StoreRevision(), uint64(9))
	}
	is.Equal(sent, 1)
	body = "second"
	v, err := c.Watch(context.Background(), "plans", 3)
	is.NoErr(err)
	is.Equal(string(v.Data()), "second")
	other := serve(t, answer{status: 304, mod: "3", store: "9"})
	_, err = other.Read(context.Background(), "plans")
	is.True(errors.Is(err, ErrProtocol))
}
