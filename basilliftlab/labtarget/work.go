package labtarget

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"basillift.dev/basillift"
)

// The headers by which a caller controls the simulation of its call.
const (
	HeaderCall  = "Lab-Call"
	HeaderSize  = "Lab-Size"
	HeaderWork  = "Lab-Work"
	HeaderCrash = "Lab-Crash"
)

// The headers of basillift that the target reads and writes.
const (
	headerTimeout = "Basillift-Timeout"
	headerOutcome = "Basillift-Outcome"
	headerReason  = "Basillift-Reason"
)

const (
	// defaultResponseBytes is the response size if the caller requests none.
	defaultResponseBytes = 512
	// maxExtraWorkMs limits the additional work time that a caller can request.
	maxExtraWorkMs = 60_000
)

func (t *Target) handleCall(w http.ResponseWriter, r *http.Request) {
	size, err := headerInt(r, HeaderSize, defaultResponseBytes, MaxResponseBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	extraMs, err := headerInt(r, HeaderWork, 0, maxExtraWorkMs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := t.admit(time.Now()); reason != "" {
		t.refuse(w, reason)
		return
	}
	if !t.waitForSlot(r) {
		t.refuse(w, string(basillift.ReasonDeadline))
		return
	}
	defer t.endCall()
	runCount := t.startCall(time.Now(), r)
	if r.Header.Get(HeaderCrash) == "true" {
		t.options.log.Error().Str("call", r.Header.Get(HeaderCall)).Msg("crash requested")
		t.options.crash()
	}
	t.respond(w, r, runCount, size, time.Duration(extraMs)*time.Millisecond)
}

// headerInt parses a header with a number from 0 to limit. A missing header has the
// value fallback.
func headerInt(r *http.Request, header string, fallback, limit int) (int, error) {
	text := r.Header.Get(header)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		return 0, fmt.Errorf("%s is %q, must be a number from 0 to %d: %w", header, text, limit, ErrInvalidValue)
	}
	return n, nil
}

func (t *Target) admit(now time.Time) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.admission.Admit(now, t.random.Float64())
}

// waitForSlot reports whether the call got a slot. If it returns false, the caller
// disconnected or its timeout passed, and the call has not run.
func (t *Target) waitForSlot(r *http.Request) bool {
	ctx := r.Context()
	if timeoutMs, err := strconv.Atoi(r.Header.Get(headerTimeout)); err == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Duration(timeoutMs)*time.Millisecond)
		defer cancel()
		ctx = timeoutCtx
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.admission.LeaveQueue()
		return false
	}
}

func (t *Target) refuse(w http.ResponseWriter, reason string) {
	t.mutex.Lock()
	t.stats.Refused++
	t.mutex.Unlock()
	w.Header().Set(headerOutcome, string(basillift.OutcomeNotRun))
	w.Header().Set(headerReason, reason)
	http.Error(w, "refused: "+reason, http.StatusServiceUnavailable)
}

func (t *Target) startCall(now time.Time, r *http.Request) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.admission.Start()
	return t.runCounter.Start(now, r.Header.Get(HeaderCall), r.Method)
}

func (t *Target) endCall() {
	<-t.slots
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.admission.End()
}

// respond reads the whole request body, waits for the work time and sends the
// response. The work stops early if the caller disconnects.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, runCount, size int, extraWork time.Duration) {
	hash := sha256.New()
	bytesRead, err := io.Copy(hash, r.Body)
	if err != nil {
		t.recordEnd(false)
		w.Header().Set(headerOutcome, string(basillift.OutcomeUnknown))
		w.Header().Set(headerReason, string(basillift.ReasonTruncated))
		http.Error(w, "request body is truncated", http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(t.drawWorkTime() + extraWork):
	case <-r.Context().Done():
		t.recordEnd(false)
		return
	}
	callID := r.Header.Get(HeaderCall)
	data, err := NewResponse(callID, t.options.name, runCount, bytesRead, hex.EncodeToString(hash.Sum(nil))).Encode(size)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderCall, callID)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = w.Write(data)
	t.recordEnd(err == nil)
}

func (t *Target) recordEnd(complete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if complete {
		t.stats.Ended++
		return
	}
	t.stats.Cancelled++
}
