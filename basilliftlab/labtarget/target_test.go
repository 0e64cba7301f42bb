package labtarget

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start is the fixed present time of these tests.
func start() time.Time { return time.Unix(1_700_000_000, 0) }

// assertAdmit checks the reason with which a call is refused, or "" for an admitted one.
func assertAdmit(t *testing.T, c *AdmissionController, now time.Time, random float64, reason string) {
	t.Helper()
	is.New(t).Equal(c.Admit(now, random), reason)
}

// Guards against a target that admits more calls than its slots and queue hold, or admits calls
// during a cold start, while it drains or sheds.
func TestAdmissionController(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		c := NewAdmissionController(1, 1, start())
		assertAdmit(t, c, start(), 0, "")
		c.Start()
		assertAdmit(t, c, start(), 0, "")
		assertAdmit(t, c, start(), 0, "overload")
		is.New(t).Equal(c.Load(start()), Load{slots: 1, used: 1, queued: 1, state: StateShedding})
	})
	t.Run("cold start", func(t *testing.T) {
		c := NewAdmissionController(1, 1, start().Add(time.Second))
		assertAdmit(t, c, start(), 0, "draining")
		is.New(t).Equal(c.Load(start()).State(), StateStarting)
		assertAdmit(t, c, start().Add(time.Second), 0, "")
	})
	t.Run("draining", func(t *testing.T) {
		c := NewAdmissionController(1, 1, start())
		c.SetSwitches(true, 0)
		assertAdmit(t, c, start(), 0, "draining")
	})
	t.Run("shed ratio", func(t *testing.T) {
		c := NewAdmissionController(1, 1, start())
		c.SetSwitches(false, 0.5)
		assertAdmit(t, c, start(), 0.4, "overload")
		assertAdmit(t, c, start(), 0.6, "")
	})
}

// Guards against reports that ignore the switches for lag and false reports.
func TestReporter(t *testing.T) {
	actual := Load{slots: 4, used: 4, queued: 2, state: StateShedding}
	idle := Load{slots: 4, state: StateReady}
	assertReport := func(t *testing.T, lag time.Duration, f FalseReport, want Load) {
		t.Helper()
		r := &Reporter{}
		r.Sample(start(), idle)
		r.Sample(start().Add(time.Second), actual)
		r.SetSwitches(lag, f)
		is.New(t).Equal(r.Report(start().Add(time.Second), actual), want)
	}
	t.Run("true", func(t *testing.T) { assertReport(t, 0, FalseReportNone, actual) })
	t.Run("lagging", func(t *testing.T) { assertReport(t, 500*time.Millisecond, FalseReportNone, idle) })
	t.Run("idle", func(t *testing.T) { assertReport(t, 0, FalseReportIdle, idle) })
	t.Run("full", func(t *testing.T) {
		assertReport(t, 0, FalseReportFull, Load{slots: 4, used: 4, queued: 4, state: StateDraining})
	})
}

// Guards against a response that passes as correct although it is truncated, corrupted or belongs to another call.
func TestDecodeResponse(t *testing.T) {
	assertDecode := func(t *testing.T, call string, damage func([]byte) []byte, want error) {
		t.Helper()
		data, err := NewResponse("a", "vm1", 1, 3, "sum").Encode(400)
		is.New(t).NoErr(err)
		is.New(t).Equal(len(data), 400)
		_, err = DecodeResponse(damage(data), call)
		is.New(t).True(errors.Is(err, want))
	}
	t.Run("correct", func(t *testing.T) { assertDecode(t, "a", func(b []byte) []byte { return b }, nil) })
	t.Run("another call", func(t *testing.T) { assertDecode(t, "b", func(b []byte) []byte { return b }, ErrWrongCall) })
	t.Run("truncated", func(t *testing.T) { assertDecode(t, "a", func(b []byte) []byte { return b[:399] }, ErrCorrupted) })
	t.Run("empty", func(t *testing.T) { assertDecode(t, "a", func([]byte) []byte { return nil }, ErrCorrupted) })
	t.Run("corrupted", func(t *testing.T) {
		assertDecode(t, "a", func(b []byte) []byte { b[200]++; return b }, ErrCorrupted)
	})
}

// Guards against run counts that miss a second run, and against a crash before the run is counted.
func TestWork(t *testing.T) {
	crashes := 0
	options := NewOptions("vm1", "").WithWork(0, 0, 1).WithCrash(func() { crashes++ })
	target := New(options, start())
	send := func(method, path, call string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader("body"))
		r.Header.Set(HeaderCall, call)
		r.Header.Set(HeaderCrash, "true")
		w := httptest.NewRecorder()
		target.Handler().ServeHTTP(w, r)
		return w
	}
	is := is.New(t)
	_, err := DecodeResponse(send(http.MethodPost, "/order", "p").Body.Bytes(), "p")
	is.NoErr(err)
	send(http.MethodPost, "/order", "p")
	send(http.MethodGet, "/leather", "g")
	is.Equal(crashes, 3)
	is.Equal(send(http.MethodGet, "/lab/runs", "").Body.String(), `{"runs":{"p":2},"dropped":0}`+"\n")
	is.Equal(send(http.MethodGet, "/lab/runs?all=true", "").Body.String(), `{"runs":{"g":1,"p":2},"dropped":0}`+"\n")
}

// Guards against a misspelled switch that is ignored and so stays off.
func TestSwitch(t *testing.T) {
	assertStatus := func(t *testing.T, body string, status int) {
		t.Helper()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/lab/switch", strings.NewReader(body))
		New(NewOptions("vm1", ""), start()).Handler().ServeHTTP(w, r)
		is.New(t).Equal(w.Code, status)
	}
	t.Run("valid", func(t *testing.T) { assertStatus(t, `{"lag":500,"lie":"idle","shed":0.1}`, 200) })
	t.Run("unknown field", func(t *testing.T) { assertStatus(t, `{"lagg":500}`, 400) })
	t.Run("unknown false report", func(t *testing.T) { assertStatus(t, `{"lie":"big"}`, 400) })
	t.Run("lag longer than the samples cover", func(t *testing.T) { assertStatus(t, `{"lag":60000}`, 400) })
}
