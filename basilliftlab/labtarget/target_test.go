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

// start is the present time of the deciding functions in these tests.
func start() time.Time { return time.Unix(1_700_000_000, 0) }

// enters asserts the reason with which a gate refuses a call.
func enters(t *testing.T, g *Gate, now time.Time, draw float64, reason string) {
	t.Helper()
	is.New(t).Equal(g.Enter(now, draw), reason)
}

// Guards against a stand-in that admits more than its slots and queue, or when it must not.
func TestGate(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		g := NewGate(1, 1, start())
		enters(t, g, start(), 0, "")
		g.Start()
		enters(t, g, start(), 0, "")
		enters(t, g, start(), 0, "overload")
		is.New(t).Equal(g.Load(start()), Load{slots: 1, used: 1, queue: 1, state: StateShedding})
	})
	t.Run("cold", func(t *testing.T) {
		g := NewGate(1, 1, start().Add(time.Second))
		enters(t, g, start(), 0, "draining")
		is.New(t).Equal(g.Load(start()).State(), StateStarting)
		enters(t, g, start().Add(time.Second), 0, "")
	})
	t.Run("draining", func(t *testing.T) {
		g := NewGate(1, 1, start())
		g.Switch(true, 0)
		enters(t, g, start(), 0, "draining")
	})
	t.Run("shed share", func(t *testing.T) {
		g := NewGate(1, 1, start())
		g.Switch(false, 0.5)
		enters(t, g, start(), 0.4, "overload")
		enters(t, g, start(), 0.6, "")
	})
}

// Guards against reports that do not lag or mislead as switched.
func TestReporter(t *testing.T) {
	truth := Load{slots: 4, used: 4, queue: 2, state: StateShedding}
	calm := Load{slots: 4, state: StateReady}
	reports := func(t *testing.T, lag time.Duration, l Lie, want Load) {
		t.Helper()
		r := &Reporter{}
		r.Sample(start(), calm)
		r.Sample(start().Add(time.Second), truth)
		r.Switch(lag, l)
		is.New(t).Equal(r.Report(start().Add(time.Second), truth), want)
	}
	t.Run("true", func(t *testing.T) { reports(t, 0, LieNone, truth) })
	t.Run("lagging", func(t *testing.T) { reports(t, 500*time.Millisecond, LieNone, calm) })
	t.Run("idle", func(t *testing.T) { reports(t, 0, LieIdle, calm) })
	t.Run("full", func(t *testing.T) {
		reports(t, 0, LieFull, Load{slots: 4, used: 4, queue: 4, state: StateDraining})
	})
}

// Guards against a cut, changed or crossed answer that passes as whole.
func TestAnswer(t *testing.T) {
	decodes := func(t *testing.T, call string, damage func([]byte) []byte, want error) {
		t.Helper()
		data, err := NewAnswer("a", "vm1", 1, 3, "sum").Encode(400)
		is.New(t).NoErr(err)
		is.New(t).Equal(len(data), 400)
		_, err = DecodeAnswer(damage(data), call)
		is.New(t).True(errors.Is(err, want))
	}
	t.Run("whole", func(t *testing.T) { decodes(t, "a", func(b []byte) []byte { return b }, nil) })
	t.Run("crossed", func(t *testing.T) { decodes(t, "b", func(b []byte) []byte { return b }, ErrCrossed) })
	t.Run("cut", func(t *testing.T) { decodes(t, "a", func(b []byte) []byte { return b[:399] }, ErrCut) })
	t.Run("empty", func(t *testing.T) { decodes(t, "a", func([]byte) []byte { return nil }, ErrCut) })
	t.Run("changed", func(t *testing.T) {
		decodes(t, "a", func(b []byte) []byte { b[200]++; return b }, ErrCut)
	})
}

// Guards against run counts that hide a second run, and against crashes that are not counted first.
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
	_, err := DecodeAnswer(send(http.MethodPost, "/order", "p").Body.Bytes(), "p")
	is.NoErr(err)
	send(http.MethodPost, "/order", "p")
	send(http.MethodGet, "/leather", "g")
	is.Equal(crashes, 3)
	is.Equal(send(http.MethodGet, "/lab/runs", "").Body.String(), `{"runs":{"p":2},"dropped":0}`+"\n")
	is.Equal(send(http.MethodGet, "/lab/runs?all=true", "").Body.String(), `{"runs":{"g":1,"p":2},"dropped":0}`+"\n")
}

// Guards against a misspelled switch that is taken as off.
func TestSwitch(t *testing.T) {
	turns := func(t *testing.T, body string, status int) {
		t.Helper()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/lab/switch", strings.NewReader(body))
		New(NewOptions("vm1", ""), start()).Handler().ServeHTTP(w, r)
		is.New(t).Equal(w.Code, status)
	}
	t.Run("good", func(t *testing.T) { turns(t, `{"lag":500,"lie":"idle","shed":0.1}`, 200) })
	t.Run("unknown field", func(t *testing.T) { turns(t, `{"lagg":500}`, 400) })
	t.Run("unknown lie", func(t *testing.T) { turns(t, `{"lie":"big"}`, 400) })
	t.Run("lag beyond the samples", func(t *testing.T) { turns(t, `{"lag":60000}`, 400) })
}
