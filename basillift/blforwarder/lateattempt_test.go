package blforwarder

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitUntil waits until a condition holds; the guard only ends a test that would hang.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hangGuard); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}

// Guards against callers who are refused at their latency objective although they can wait longer and no other target takes
// their request, and against an older daemon that would refuse the flag.
func TestLatePlaceOverConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := startTarget(t, func(w net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.URL.Path, "/get/held") {
			<-release
		}
		return answerOK(w, r, body)
	})
	m := startMesh(t, f)
	m.publish(t, 2, 4*time.Second)
	warm := m.dial(t, 0)
	for i := range 20 {
		warm.send(withoutTimeLimit(get(fmt.Sprintf("w%d", i), "/get/warm")))
		warm.assertAnswer(http.StatusOK, "")
	}
	ad := m.forwarders[0].admission
	requests := ad.load().Slots() + 2
	var callers []*caller
	for i := range requests {
		c := m.dial(t, 0)
		c.send(withoutTimeLimit(get(fmt.Sprintf("h%d", i), "/get/held")))
		callers = append(callers, c)
	}
	waitUntil(t, func() bool { return ad.lateWaiting() == 2 })
	close(release)
	for i, c := range callers {
		c.assertAnswer(http.StatusOK, "/get/held ")
		is.Equal(f.count(fmt.Sprintf("h%d", i)), 1)
	}
	var metrics bytes.Buffer
	m.forwarders[0].WriteMetrics(&metrics)
	is.True(strings.Contains(metrics.String(), `basillift_admissions_total{admission="late",rank="0"} 2`))
}

func TestLateFlagLeavesMetadataAsItIs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	meta := requestMetadata{route: "r", instance: "i", softDeadline: now, deadline: now}
	plain := meta.format(now)
	is.Equal(meta.appendLate(nil), nil)
	meta.lateAllowed = true
	is.Equal(meta.format(now), plain)
	is.Equal(string(meta.appendLate(nil)), "Basillift-Late: 1\r\n")
}

// Guards against a Retry-After that a caller doesn't wait for, since less time is left to it.
func TestRetryAfterWithinCallersTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := &callerSide{}
	rr := &routedRequest{earliestRetryAfter: time.Second, callerDeadline: now.Add(900 * time.Millisecond)}
	is.Equal(c.retryAfter(now, rr), 300*time.Millisecond)
	rr.callerDeadline = now.Add(time.Minute)
	is.Equal(c.retryAfter(now, rr), time.Second)
	rr.callerDeadline = time.Time{}
	is.Equal(c.retryAfter(now, rr), time.Second)
}
