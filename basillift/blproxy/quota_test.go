package blproxy

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// TestLimits guards against customers that exceed their plan, and against permanently refusing
// calls within the plan. For at least one of the callers, the quota owner is another daemon.
func TestLimits(t *testing.T) {
	t.Run("rate", func(t *testing.T) {
		callers := startLimited(t, startTarget(t, echo), 2, 0)
		eventually(t, func() bool { return callers[0].ask(t, "GET", "/catalogue/1", "").StatusCode() == 200 })
		refused := 0
		for range 20 {
			for _, c := range callers {
				r := c.ask(t, "POST", "/catalogue/1", "")
				if r.StatusCode() == 200 {
					continue
				}
				refused++
				assertRefused(t, r, 429, basillift.OutcomeNotRun, basillift.ReasonRate)
				is.New(t).True(len(r.Header.Peek("Retry-After")) > 0)
			}
		}
		is.New(t).True(refused > 20) // 2 calls/s cannot let half of them pass
	})
	t.Run("concurrency", func(t *testing.T) {
		arrived, leave := make(chan struct{}, 2), make(chan struct{})
		callers := startLimited(t, startTarget(t, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/catalogue/slow" {
				arrived <- struct{}{}
				<-leave
			}
		}), 0, 1)
		eventually(t, func() bool { return callers[0].ask(t, "GET", "/catalogue/1", "").StatusCode() == 200 })
		_, first := dialCaller(t, callers[0], "GET /catalogue/slow"+requestHead+"\r\n")
		<-arrived
		r := callers[0].ask(t, "GET", "/catalogue/1", "")
		assertRefused(t, r, 429, basillift.OutcomeNotRun, basillift.ReasonConcurrency)
		close(leave)
		assertAnswer(t, readResponse(t, first), 200, "")
		eventually(t, func() bool { return callers[0].ask(t, "GET", "/catalogue/1", "").StatusCode() == 200 })
	})
}

// startLimited starts two daemons with callers of a customer whose plan has limits.
func startLimited(t *testing.T, target string, rate, concurrency int) []*daemon {
	t.Helper()
	limited := basicConfiguration()
	limited.plan = basillift.NewPlan("basic", []string{"catalogue"}, rate, concurrency, basillift.ClassNormal)
	callers := []*daemon{startDaemon(t, "vm-a", target, withLongTimeouts), startDaemon(t, "vm-b", target, withLongTimeouts)}
	for _, c := range callers {
		c.source = limited
		c.addTargets(callers...)
	}
	connectDaemons(t, callers...)
	return callers
}
