package blproxy

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// echo answers with the method, the raw request target and the body.
func echo(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.Request.Header.RequestURI()) + " " + string(ctx.Request.Body()))
}

// TestPath guards against requests that are changed or refused while two daemons forward them.
func TestPath(t *testing.T) {
	caller, _ := startPair(t, startTarget(t, echo), nil)

	t.Run("get", func(t *testing.T) {
		assertAnswer(t, caller.ask(t, "GET", "/catalogue/hides?x=%2F", ""), 200, "GET /catalogue/hides?x=%2F ")
	})
	t.Run("post", func(t *testing.T) {
		assertAnswer(t, caller.ask(t, "POST", "/catalogue/hides", "goat"), 200, "POST /catalogue/hides goat")
	})
	t.Run("head", func(t *testing.T) {
		r := caller.ask(t, "HEAD", "/catalogue/hides", "")
		is.New(t).Equal(r.Header.ContentLength(), len("HEAD /catalogue/hides "))
	})
	t.Run("large body", func(t *testing.T) {
		text := strings.Repeat("0123456789abcdef", 1<<16)
		assertAnswer(t, caller.ask(t, "POST", "/catalogue/maps", text), 200, "POST /catalogue/maps "+text)
	})
}

// TestRefusals guards against forbidden or invalid calls that reach a target.
func TestRefusals(t *testing.T) {
	reached := false
	caller, called := startPair(t, startTarget(t, func(*fasthttp.RequestCtx) { reached = true }), nil)
	cases := []struct {
		name, path, header string
		status             int
		reason             basillift.Reason
	}{
		{"plan without the service", "/reservations/1", "", 403, basillift.ReasonPlan},
		{"unknown service", "/nothing/1", "", 404, basillift.ReasonService},
		{"unknown customer", "/catalogue/1", "Basillift-Customer: nobody", 401, basillift.ReasonCustomer},
		{"no customer", "/catalogue/1", "Basillift-Customer: ", 401, basillift.ReasonCustomer},
		{"no time left", "/catalogue/1", "Basillift-Timeout: 0", 504, basillift.ReasonDeadline},
		{"timeout not a number", "/catalogue/1", "Basillift-Timeout: soon", 400, basillift.ReasonBadRequest},
		{"too deep", "/catalogue/1", "Basillift-Depth: 32", 508, basillift.ReasonDepth},
		{"path leaves its service", "/catalogue/../reservations/1", "", 400, basillift.ReasonBadRequest},
		{"encoded path leaves its service", "/catalogue/%2e%2e/reservations/1", "", 400, basillift.ReasonBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := caller.ask(t, "GET", c.path, "", c.header)
			assertRefused(t, r, c.status, basillift.OutcomeNotRun, c.reason)
		})
	}
	t.Run("no target", func(t *testing.T) {
		r := called.ask(t, "GET", "/catalogue/1", "")
		assertRefused(t, r, 503, basillift.OutcomeNotRun, basillift.ReasonNoTarget)
		is.New(t).Equal(string(r.Header.Peek("Retry-After")), "1")
	})
	is.New(t).Equal(reached, false)
}
