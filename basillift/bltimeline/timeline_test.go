package bltimeline

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func event(vm basillift.VMID, sequence uint64, at int64) basillift.Event {
	return basillift.NewEvent(time.Unix(0, at).UTC(), basillift.EventStarted).WithOrigin(vm, 1, sequence)
}

func assertOrder(t *testing.T, events []basillift.Event, want string) {
	t.Helper()
	var got strings.Builder
	for _, e := range events {
		got.WriteString(string(e.VM()))
		got.WriteByte(byte('0' + e.Sequence()))
	}
	is.New(t).Equal(got.String(), want)
}

// Guards against a full log that blocks, drops new events or does not count dropped events.
func TestLogDropsOldest(t *testing.T) {
	is := is.New(t)
	l := NewLog("a", 1, 3)
	for i := range int64(5) {
		l.Record(basillift.NewEvent(time.Unix(0, i), basillift.EventStarted))
	}
	events, dropped := l.Events()
	assertOrder(t, events, "a3a4a5")
	is.Equal(dropped, uint64(2))
}

func TestMerge(t *testing.T) {
	t.Run("orders events of several VMs by time", func(t *testing.T) {
		merged := Merge([]basillift.Event{event("a", 1, 10), event("a", 2, 30)}, []basillift.Event{event("b", 1, 20)})
		assertOrder(t, merged, "a1b1a2")
	})
	t.Run("keeps a daemon's order when its clock is set back", func(t *testing.T) {
		merged := Merge([]basillift.Event{event("a", 1, 50), event("a", 2, 10)}, []basillift.Event{event("b", 1, 20)})
		assertOrder(t, merged, "b1a1a2")
	})
	t.Run("removes duplicate events", func(t *testing.T) {
		merged := Merge([]basillift.Event{event("a", 1, 10)}, []basillift.Event{event("a", 1, 10)})
		assertOrder(t, merged, "a1")
	})
}

// Guards against a field that is lost in the encoding between a daemon and the operators' client.
func TestCodecKeepsAllFields(t *testing.T) {
	is := is.New(t)
	e := event("a", 1, 12345).WithVersion(basillift.NewVersion(1, 42), 0xfeed).
		WithCall("c1", "kobuleti", "catalogue", "POST").WithKey("k").WithTarget("b").
		WithState(basillift.TargetReady).WithOutcome(basillift.OutcomeNotRun, basillift.ReasonPlan, 403).WithDetail("d")
	data, err := Encode(e)
	is.NoErr(err)
	events, err := Read(bytes.NewReader(append(data, '\n')))
	is.NoErr(err)
	is.Equal(events, []basillift.Event{e})
}

// Guards against reading a corrupt recording as a shorter valid one.
func TestReadRefuses(t *testing.T) {
	for _, line := range []string{`{`, `{"kind":"x"}`, `{"at":1,"vm":"a","kind":"x","incarnation":1,"sequence":1,"version":"1"}`} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			events, err := Read(strings.NewReader(line))
			is.True(err != nil)
			is.Equal(len(events), 0)
		})
	}
}

func TestWrite(t *testing.T) {
	events := []basillift.Event{event("a", 1, 1000)}
	t.Run("text", func(t *testing.T) {
		var out bytes.Buffer
		is.New(t).NoErr(Write(&out, FormatText, events))
		is.New(t).True(strings.Contains(out.String(), "daemon.started"))
	})
	t.Run("trace events name each VM", func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		is.NoErr(Write(&out, FormatTrace, events))
		var entries []traceEvent
		is.NoErr(json.Unmarshal(out.Bytes(), &entries))
		is.Equal(entries[0].Phase, "M")
		is.Equal(entries[1].TimestampMicros, int64(1))
	})
	t.Run("unknown format", func(t *testing.T) {
		err := Write(&bytes.Buffer{}, "xml", events)
		is.New(t).True(errors.Is(err, ErrFormat))
	})
}

// Guards against a decoder that panics on corrupt input, and against a decoded event that
// changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"at":1,"vm":"a","incarnation":1,"sequence":1,"kind":"daemon.started","version":"1.2","digest":"ff"}`))
	f.Add([]byte(`{"at":1,"vm":"a","kind":"x","incarnation":-1,"sequence":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(e)
		is.New(t).NoErr(err)
		decoded, err := Decode(again)
		is.New(t).NoErr(err)
		is.New(t).Equal(decoded, e)
	})
}
