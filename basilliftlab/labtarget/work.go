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

// The headers by which a caller steers the stand-in.
const (
	HeaderCall  = "Lab-Call"
	HeaderSize  = "Lab-Size"
	HeaderCrash = "Lab-Crash"
)

// The headers of basillift that the stand-in reads and writes.
const (
	headerTimeout = "Basillift-Timeout"
	headerOutcome = "Basillift-Outcome"
	headerReason  = "Basillift-Reason"
)

// defaultSize is the answer's size in bytes when the caller names none.
const defaultSize = 512

func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	size, err := answerSize(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := t.enter(time.Now()); reason != "" {
		t.refuse(w, reason)
		return
	}
	if !t.waitForSlot(r) {
		t.refuse(w, string(basillift.ReasonDeadline))
		return
	}
	defer t.end()
	count := t.start(time.Now(), r)
	if r.Header.Get(HeaderCrash) == "true" {
		t.options.log.Error().Str("call", r.Header.Get(HeaderCall)).Msg("crash requested")
		t.options.crash()
	}
	t.answer(w, r, count, size)
}

func answerSize(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderSize)
	if text == "" {
		return defaultSize, nil
	}
	size, err := strconv.ParseUint(text, 10, 32)
	if err != nil || size > MaximumAnswer {
		return 0, fmt.Errorf("%s is %q, allowed are 0 to %d: %w", HeaderSize, text, MaximumAnswer, ErrSwitch)
	}
	return int(size), nil
}

func (t *Target) enter(now time.Time) string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.gate.Enter(now, t.random.Float64())
}

// waitForSlot returns false when the caller is gone or its deadline has passed;
// the call has not run then.
func (t *Target) waitForSlot(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(headerTimeout)); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		t.lock.Lock()
		defer t.lock.Unlock()
		t.gate.Leave()
		return false
	}
}

func (t *Target) refuse(w http.ResponseWriter, reason string) {
	t.lock.Lock()
	t.stats.Refused++
	t.lock.Unlock()
	w.Header().Set(headerOutcome, string(basillift.OutcomeNotRun))
	w.Header().Set(headerReason, reason)
	http.Error(w, "refused: "+reason, http.StatusServiceUnavailable)
}

func (t *Target) start(now time.Time, r *http.Request) int {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.gate.Start()
	return t.runs.Start(now, r.Header.Get(HeaderCall), r.Method)
}

func (t *Target) end() {
	<-t.slots
	t.lock.Lock()
	defer t.lock.Unlock()
	t.gate.End()
}

// answer reads the whole request, works and sends the answer. A caller that
// hangs up ends the work.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, count, size int) {
	hash := sha256.New()
	read, err := io.Copy(hash, r.Body)
	if err != nil {
		t.countEnd(false)
		w.Header().Set(headerOutcome, string(basillift.OutcomeUnknown))
		w.Header().Set(headerReason, string(basillift.ReasonTruncated))
		http.Error(w, "request body is cut", http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(t.workTime()):
	case <-r.Context().Done():
		t.countEnd(false)
		return
	}
	call := r.Header.Get(HeaderCall)
	data, err := NewAnswer(call, t.options.name, count, read, hex.EncodeToString(hash.Sum(nil))).Encode(size)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderCall, call)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = w.Write(data)
	t.countEnd(err == nil)
}

func (t *Target) countEnd(whole bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if whole {
		t.stats.Ended++
		return
	}
	t.stats.Cancelled++
}
