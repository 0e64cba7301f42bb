package blforwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/bllog"
)

// drainMargin is how long before the end of the drain period of a leaving target its daemon stops admitting requests.
// It covers the transfer of a request to the target, and the delay until this daemon learned that the target is
// leaving, which grows with a burst of registry changes or a lost response.
const drainMargin = 1300 * time.Millisecond

// requestMetadata is what the caller's daemon tells the target's daemon about a request.
type requestMetadata struct {
	instance string
	// callerService is the service of the VM where the request entered the mesh.
	callerService string
	route         string
	rank          int
	// servedRatio is the share of the route's recent requests at the caller's daemon that were served, i.e. not refused
	// for overload, from 0 to 1.
	servedRatio float64
	// parent describes the request in whose course this one was made, if a target made it.
	parent parentRequest
	// retryProbability is the probability that this request is a retry, from 0 to 1. It is 1 for a further attempt at
	// the same request, and that of the parent request for a nested call.
	retryProbability float64
	// nestedCall and bestRank are set by the target's daemon: nestedCall for requests made by targets, bestRank
	// for requests that are admitted before those of any rank.
	nestedCall, bestRank bool
	retryable            bool
	latencyObjective     time.Duration
	softDeadline         time.Time
	deadline             time.Time
	// advisory is what the caller's daemon knows of the target.
	advisory basillift.Advisory
	// newestRevision is the newest revision of the registry that the caller's daemon has observed.
	newestRevision basillift.Revision
	// answerBy is when the caller's daemon, which is stopping, needs the answer; zero if it is not stopping.
	answerBy time.Time
	// sendBy is when the target's daemon must have sent the request to the target.
	sendBy time.Time
	// lateAllowed is set if the request may wait beyond its soft deadline, since no other target takes it in time.
	lateAllowed bool
}

// parentRequest describes the request that most likely made a nested call. The caller's daemon determines it: the
// parent runs at the target on the same VM.
type parentRequest struct {
	// rank is noParentRank if no parent is known.
	rank        int
	servedRatio float64
	// retryProbability is the probability that the parent is a retry. Only the caller's daemon uses it.
	retryProbability float64
}

// targetSide admits requests and sends them to the VM's own target.
type targetSide struct{ forwarder *Forwarder }

func (t *targetSide) internal() bool { return true }

func (t *targetSide) newBodyMemory(headerBytes int) *bodyMemory {
	return t.forwarder.bodyBudget.newMemory(headerBytes)
}

func (t *targetSide) slotsWanted(now time.Time) bool { return t.forwarder.slotsWanted(now) }

func (t *targetSide) connLimits() connLimits {
	limits := t.forwarder.connLimits()
	// The caller's daemon adds headers, so this limit is higher than that for callers.
	limits.headerBytes += 4 << 10
	limits.idleTimeout = meshServerIdleTimeout
	return limits
}

// serve implements handler for requests from other daemons.
func (t *targetSide) serve(ctx context.Context, r *request) *answer {
	if text := r.header(headerFeed); text != "" {
		return t.answerFeed(ctx, text)
	}
	if digest := r.header(headerSuspicions); digest != "" {
		return t.answerSuspicions(r.arrived, r, digest)
	}
	if text := r.header(headerDeadlines); text != "" {
		return t.answerDeadlines(r, text)
	}
	meta, ok := parseMetadata(r.header(headerHop), r.arrived)
	if !ok {
		return rejectedAnswer(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	meta.answerBy, _ = parseAnswerBy(r.header(headerAnswerBy), r.arrived)
	meta.lateAllowed = r.header(headerLate) == formatFlag(true)
	t.forwarder.gossip.ObserveRevision(meta.newestRevision)
	if text := r.header(headerSuspicion); text != "" {
		if s, ok := parseSuspicion(r.arrived, text, fingerprintOf(r)); ok {
			t.forwarder.adoptSuspicions(r.arrived, s)
		}
	}
	if r.header(headerPermit) != "" {
		a := t.serveReservation(ctx, r, meta)
		a.newestRevision = t.forwarder.gossip.NewestRevision()
		return a
	}
	if tq := t.forwarder.transfers; tq != nil {
		defer tq.trackRequest(r, r.header(t.forwarder.settings.headerNames.RequestID()))()
	}
	a := t.run(ctx, r, meta)
	a.newestRevision = t.forwarder.gossip.NewestRevision()
	return a
}

// run admits a request and sends it to the target. The answer carries the target's load report.
func (t *targetSide) run(ctx context.Context, r *request, meta requestMetadata) *answer {
	meta.callerService = r.header(t.forwarder.settings.headerNames.Caller())
	meta.sendBy = t.forwarder.settings.sendBy(r.arrived, meta.deadline)
	accepted := t.accept(r, meta)
	defer t.forwarder.accepted.remove(accepted)
	run := newTargetRun(r, accepted)
	a := t.admit(ctx, r, run, meta)
	t.forwarder.quarantine.leave(run)
	a.load = t.loadReport()
	if s, known := t.forwarder.quarantine.suspicion(time.Now(), run.fingerprint); known {
		a.suspicion = &s
	}
	return a
}

// accept records a request until it is answered.
func (t *targetSide) accept(r *request, meta requestMetadata) *acceptedRequest {
	f := t.forwarder
	return f.accepted.add(r.header(f.settings.headerNames.RequestID()), meta.instance, t.waitLimits(meta))
}

func (t *targetSide) admit(ctx context.Context, r *request, run *targetRun, meta requestMetadata) *answer {
	f := t.forwarder
	now := time.Now()
	f.observeCallerAdvisory(now, meta)
	if refusal := t.checkAvailable(now, meta); refusal != nil {
		return refusal
	}
	if f.quarantine.active.Load() {
		latest := earlier(meta.deadline.Add(-f.admission.serviceTimeBound(meta)), meta.sendBy)
		if refusal := f.quarantine.enter(ctx, now, run, latest, f.admission.load().MeanServiceTime()); refusal != nil {
			return f.withEvacuatedReason(refusal)
		}
	}
	meta = f.admission.classify(now, meta)
	id, refusal := f.admission.acquire(ctx, now, run.accepted, meta)
	if refusal != nil {
		f.peers.recordRefusedSlot(now)
		refusal = t.queueRefusal(refusal, meta)
		f.counters.countAdmission(refusal.admission, meta)
		return refusal
	}
	started := time.Now()
	if refusal = t.checkTarget(started, meta); refusal != nil {
		f.admission.release(started, id, false)
		return refusal
	}
	// The request may have become a suspect while it waited for the slot.
	if refusal, wait := f.quarantine.tryEnter(started, run); refusal != nil || wait != nil {
		f.admission.release(started, id, false)
		if refusal == nil {
			refusal = notRunAnswer(basillift.ReasonOverload, 0)
		}
		return refusal
	}
	note := f.admission.noteStart(id, meta.lateAllowed)
	f.counters.countAdmission(note, meta)
	f.counters.slotWait.Update(started.Sub(now).Seconds())
	f.admission.observeStart(meta)
	a, observed := t.sendToTarget(ctx, r, run, meta)
	f.admission.observeEnd(meta, time.Since(started))
	a.nestedCall, a.admission = meta.nestedCall, note
	if a.stream == nil {
		f.admission.release(time.Now(), id, observed)
		return a
	}
	a.stream.onReceived(func(complete bool) { f.admission.release(time.Now(), id, complete) })
	return a
}

// checkAvailable returns a refusal if the request cannot run here whatever the load is, and nil otherwise.
func (t *targetSide) checkAvailable(now time.Time, meta requestMetadata) (refusal *answer) {
	refusal = t.unavailable(now, meta)
	if refusal == nil {
		t.forwarder.cold.requestArrived(now)
	}
	return refusal
}

// unavailable returns what checkAvailable returns, and changes nothing.
func (t *targetSide) unavailable(now time.Time, meta requestMetadata) (refusal *answer) {
	if t.forwarder.refusesRequests.Load() {
		return notRunAnswer(basillift.ReasonDraining, 0)
	}
	return t.checkTarget(now, meta)
}

// checkTarget returns a refusal if the target must not get a request, and nil otherwise. It is called when a request arrives
// and again just before it is sent.
func (t *targetSide) checkTarget(now time.Time, meta requestMetadata) (refusal *answer) {
	f := t.forwarder
	if _, evacuated := f.ownTargetEvacuated(); evacuated {
		return notRunAnswer(basillift.ReasonEvacuated, 0)
	}
	if startBy := f.leavingLimits(meta.instance).startBy; !startBy.IsZero() && now.After(startBy) {
		return notRunAnswer(basillift.ReasonDraining, 0)
	}
	if f.admission.isMisdirected(now, meta.instance) {
		return notRunAnswer(basillift.ReasonNoTarget, 0)
	}
	return nil
}

// sendToTarget sends a request to the target and waits for the answer. observed is false if the request did not run
// to its end, so that its service time must not be counted.
func (t *targetSide) sendToTarget(ctx context.Context, r *request, run *targetRun, meta requestMetadata) (a *answer, observed bool) {
	f := t.forwarder
	names := f.settings.headerNames
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, meta.deadline)
	defer cancel()
	if ctx.Err() != nil {
		return notRunAnswer(basillift.ReasonDeadline, 0), false
	}
	defer f.crashes.end(run)
	e := f.newExchange(f.settings.targetAddress, r, t.requestHeader(r, meta, now), meta.deadline)
	e.connectBy, e.requestID, e.notRunHeader = f.settings.sendBy(now, meta.deadline), r.header(names.RequestID()), names.NotRun()
	e.begun = func() {
		f.crashes.start(run)
		f.cold.observeConnection(e.conn)
	}
	requestCtx := ctx
	if !meta.retryable {
		// A request that must not run twice is not canceled when its caller disconnects.
		requestCtx = context.WithoutCancel(ctx)
	}
	received, err := e.run(requestCtx, now)
	if err != nil {
		if !e.unsent && !isTimeout(err) {
			f.cold.observeError(time.Now(), e.conn, err)
			f.crashes.detect(run, func(ended []*targetRun) { f.recordCrash(time.Now(), ended) })
		}
		return t.answerForError(time.Now(), e, err), false
	}
	f.crashes.end(run)
	f.cold.observeAnswer(time.Now(), now, e.conn)
	if received.status != http.StatusMisdirectedRequest {
		f.observeOwnAnswer(time.Now(), meta.instance, &received.answer)
	}
	a, observed = t.classifyAnswer(received, meta)
	if a.outcome == basillift.OutcomeDone && a.status < http.StatusInternalServerError {
		f.announceSuspicions(f.quarantine.recordSuccess(time.Now(), run))
	}
	return a, observed
}

// recordCrash records that the VM's own target crashed and ended these requests.
func (f *Forwarder) recordCrash(now time.Time, ended []*targetRun) {
	f.admission.markDown(now)
	f.cold.observeRefused(now)
	f.counters.crashes.Inc()
	if f.log != nil {
		f.log.Event(bllog.TargetCrashed()).Str("instance", f.ownTarget("").Instance()).Int("requests", len(ended)).Send()
	}
	f.announceSuspicions(f.quarantine.recordCrash(now, ended))
}

// requestHeader returns the request line and the header fields for the target.
func (t *targetSide) requestHeader(r *request, meta requestMetadata, now time.Time) []byte {
	names := t.forwarder.settings.headerNames
	b := appendRequestLine(nil, r)
	b = appendFields(b, r, names, names.Deadline(), names.Instance())
	timeoutMillis := max(1, meta.deadline.Sub(now).Milliseconds())
	b = blhttp.AppendField(b, names.Deadline(), strconv.FormatInt(timeoutMillis, 10))
	if meta.instance != "" {
		b = blhttp.AppendField(b, names.Instance(), meta.instance)
	}
	return append(b, "\r\n"...)
}

// answerForError returns the answer to a request for which the target sent none. The outcome is "not-run" only if no
// byte of the request was sent.
func (t *targetSide) answerForError(now time.Time, e *exchange, err error) *answer {
	f := t.forwarder
	var timeout net.Error
	deadlinePassed := !now.Before(e.deadline) || errors.As(err, &timeout) && timeout.Timeout()
	switch {
	case e.unsent && errors.Is(err, syscall.ECONNREFUSED):
		f.admission.markDown(now)
		f.cold.observeRefused(now)
		return notRunAnswer(basillift.ReasonNoTarget, downPause)
	case e.unsent:
		return notRunAnswer(basillift.ReasonConnectFailed, 0)
	case deadlinePassed:
		return unknownAnswer(http.StatusGatewayTimeout, basillift.ReasonDeadline)
	default:
		return unknownAnswer(http.StatusBadGateway, basillift.ReasonTarget)
	}
}

// classifyAnswer checks a target's answer and sets its outcome.
func (t *targetSide) classifyAnswer(received *receivedAnswer, meta requestMetadata) (a *answer, observed bool) {
	names := t.forwarder.settings.headerNames
	a = &received.answer
	switch {
	case received.status == http.StatusMisdirectedRequest:
		// The address belongs to a restarted target or to another one.
		a.discard()
		t.forwarder.admission.markMisdirected(time.Now(), meta.instance)
		return notRunAnswer(basillift.ReasonNoTarget, 0), false
	case received.header(names.NotRun()) != "":
		a.discard()
		retryAfterSeconds, _ := strconv.ParseFloat(received.header("Retry-After"), 64)
		refusal := notRunAnswer(basillift.ReasonTarget, time.Duration(retryAfterSeconds*float64(time.Second)))
		return refusal, false
	case received.encoded, received.status < http.StatusMultipleChoices && received.header(names.Seal()) == "":
		// The seal is the header that proves that a target created the answer. An encoded answer, or a success without
		// the seal, was altered or did not come from the target. It is reported like a truncated answer, because the
		// target's own answer did not arrive intact.
		a.discard()
		return unknownAnswer(http.StatusBadGateway, basillift.ReasonTruncated), true
	case !meta.retryable && promisesNotRun(received.status):
		// The target does not say that it did not run the request, but its status would say so to the caller, which may then
		// send the request again.
		a.discard()
		return unknownAnswer(http.StatusBadGateway, basillift.ReasonTarget), true
	}
	a.outcome = basillift.OutcomeDone
	return a, true
}

// promisesNotRun reports whether a status tells callers that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func appendRequestLine(b []byte, r *request) []byte {
	b = append(append(append(b, r.method...), ' '), r.uri...)
	return append(b, " HTTP/1.1\r\n"...)
}

// appendFields adds the request's framing and its header fields, except connection headers, internal headers and the
// excluded ones, which the daemon sets itself. A caller cannot remove the caller's service or the request's id by naming them in its
// Connection header.
func appendFields(b []byte, r *request, names basillift.HeaderNames, excluded ...string) []byte {
	options, required := r.header("Connection"), []string{names.Caller(), names.RequestID()}
	for _, f := range r.fields {
		ofConnection := connectionHeader(f.name) || hasConnectionOption(options, f.name) && !containsName(required, f.name)
		if !ofConnection && !internalHeader(f.name) && !containsName(excluded, f.name) {
			b = blhttp.AppendField(b, f.name, f.value)
		}
	}
	switch {
	case r.stream != nil && r.size < 0:
		b = blhttp.AppendField(b, "Transfer-Encoding", "chunked")
	case r.stream != nil:
		b = blhttp.AppendField(b, "Content-Length", strconv.Itoa(r.size))
	case len(r.body) > 0 || r.size != 0 || r.method == http.MethodPost || r.method == http.MethodPut:
		b = blhttp.AppendField(b, "Content-Length", strconv.Itoa(len(r.body)))
	}
	return b
}

// containsName reports whether a header name is in a list, ignoring case.
func containsName(names []string, name string) bool {
	return slices.ContainsFunc(names, func(each string) bool { return strings.EqualFold(each, name) })
}

// hasConnectionOption reports whether the value of a Connection header names a header field.
func hasConnectionOption(options, name string) bool {
	if options == "" {
		return false
	}
	for option := range strings.SplitSeq(options, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
