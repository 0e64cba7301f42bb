package blforwarder

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/blwarmup"
)

const (
	// healthTimeout bounds a health check. A target may let it wait for a slot like any request.
	healthTimeout = time.Second
	// maxColdTime bounds for how long a target may say that it stays cold. A higher value is a defect of the target.
	maxColdTime = time.Hour
)

// healthCheck asks the VM's own target how long it stays cold. It uses a connection of its own, since an open one may be to an
// earlier run of the target, and no slot of the admission: it is not counted in the rate limit.
type healthCheck struct {
	target *coldTarget
	check  blwarmup.Check
	path   string
}

// run sends the check and records its result.
func (h *healthCheck) run(ctx context.Context) {
	f := h.target.forwarder
	began := time.Now()
	e := f.newExchange(f.settings.targetAddress, &request{method: http.MethodGet}, h.header(), began.Add(healthTimeout))
	e.newConnection = true
	e.begun = func() { h.target.observeAnswer(time.Now(), began, e.conn) }
	received, err := e.run(ctx, began)
	answer := blwarmup.NewHealthFailure(failedHealthResult(e, err))
	if err == nil {
		answer = parseHealthAnswer(f.settings.headerNames, &received.answer)
		h.observeAdvisory(&received.answer)
		received.discard()
	}
	now := time.Now()
	h.target.observe(now, func(s *blwarmup.State) { f.counters.countHealthCheck(s.EndCheck(now, h.check, answer)) })
}

// observeAdvisory records what the target says about itself. An answer that says nothing does not end its own limit, since it is not
// known whether health answers name it.
func (h *healthCheck) observeAdvisory(a *answer) {
	f := h.target.forwarder
	if advisory, _ := parseAdvisory(f.settings.headerNames, a); !advisory.Empty() {
		f.observeOwnAnswer(time.Now(), a.header(f.settings.headerNames.AnsweringInstance()), a)
	}
}

func (h *healthCheck) header() []byte {
	names, address := h.target.forwarder.settings.headerNames, h.target.forwarder.settings.targetAddress
	b := append([]byte("GET "), h.path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = blhttp.AppendField(b, "Host", address)
	b = blhttp.AppendField(b, names.Deadline(), strconv.FormatInt(healthTimeout.Milliseconds(), 10))
	return append(b, "\r\n"...)
}

// failedHealthResult returns the result of a health check without an answer.
func failedHealthResult(e *exchange, err error) blwarmup.HealthResult {
	switch {
	case e.unsent && errors.Is(err, syscall.ECONNREFUSED):
		return blwarmup.HealthRefused
	case e.unsent:
		return blwarmup.HealthUnreachable
	}
	return blwarmup.HealthFailed
}

// parseHealthAnswer reads for how long a target stays cold. A target that is warm leaves the header out.
func parseHealthAnswer(names basillift.HeaderNames, a *answer) blwarmup.HealthAnswer {
	if a.status != http.StatusOK {
		return blwarmup.NewHealthFailure(blwarmup.HealthFailed)
	}
	instance, text := a.header(names.AnsweringInstance()), a.header(names.Cold())
	if text == "" && instance != "" {
		return blwarmup.NewHealthAnswer(instance, 0)
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(millis) || millis < 0 || millis > float64(maxColdTime.Milliseconds()) {
		return blwarmup.NewHealthFailure(blwarmup.HealthNoHeader)
	}
	return blwarmup.NewHealthAnswer(instance, time.Duration(millis*float64(time.Millisecond)))
}
