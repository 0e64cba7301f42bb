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
	HeaderWork  = "Lab-Work"
	HeaderCrash = "Lab-Crash"
)

// The headers of basillift that the stand-in reads and writes.
const (
	headerTimeout = "Basillift-Timeout"
	headerOutcome = "Basillift-Outcome"
	headerReason  = "Basillift-Reason"
)

const (
	// defaultSize is the answer's size in bytes when the caller names none.
	defaultSize = 512
	// maximumWork bounds the additional work time in ms that a caller can ask for.
	maximumWork = 60_000
)

func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	size, err := number(r, HeaderSize, defaultSize, MaximumAnswer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	extra, err := number(r, HeaderWork, 0, maximumWork)
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
	t.answer(w, r, count, size, time.Duration(extra)*time.Millisecond)
}

// number reads a header that steers the stand-in.
func number(r *http.Request, header string, absent, most int) (int, error) {
	text := r.Header.Get(header)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		return 0, fmt.Errorf("%s is %q, allowed are 0 to %d: %w", header, text, most, ErrSwitch)
	}
	return n, nil
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
func (t *Target) answer(w http.ResponseWriter, r *http.Request, count, size int, extra time.Duration) {
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
	case <-time.After(t.workTime() + extra):
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
