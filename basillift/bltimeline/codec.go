package bltimeline

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// maxLineBytes is the maximum length of a JSON line that Read accepts.
const maxLineBytes = 1 << 20

// ErrLine is returned for a line of a recorded timeline that is not a valid event.
var ErrLine = eris.New("not a timeline event")

// Read parses a timeline in JSON lines and skips empty lines. On an error it returns no
// events; the error contains the line number.
func Read(r io.Reader) ([]basillift.Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var events []basillift.Event
	for n := 1; scanner.Scan(); n++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		e, err := Decode(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("read timeline line %d: %w", n, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read timeline: %w", err)
	}
	return events, nil
}

// Decode parses one event from a JSON object. It returns an error if the VM id or the kind is
// missing, or if the incarnation or the sequence number is negative.
func Decode(data []byte) (basillift.Event, error) {
	var t Entry
	if err := json.Unmarshal(data, &t); err != nil {
		return basillift.Event{}, fmt.Errorf("decode event: %w", errors.Join(ErrLine, err))
	}
	if t.Kind == "" || t.Vm == "" || t.Incarnation < 0 || t.Sequence < 0 {
		return basillift.Event{}, fmt.Errorf("decode event: vm, kind, incarnation or sequence missing: %w", ErrLine)
	}
	version, digest, err := decodeVersion(t)
	if err != nil {
		return basillift.Event{}, fmt.Errorf("decode event: %w", err)
	}
	e := basillift.NewEvent(time.Unix(0, int64(t.At)).UTC(), basillift.EventKind(t.Kind)).
		WithOrigin(basillift.VMID(t.Vm), uint64(t.Incarnation), uint64(t.Sequence)).
		WithVersion(version, digest).
		WithCall(value(t.Call), value(t.Customer), value(t.Service), value(t.Method)).
		WithKey(value(t.Key)).
		WithTarget(basillift.VMID(value(t.Target))).
		WithState(basillift.TargetState(value(t.State))).
		WithOutcome(basillift.Outcome(value(t.Outcome)), basillift.Reason(value(t.Reason)), value(t.Status)).
		WithDetail(value(t.Detail))
	return e, nil
}

func decodeVersion(t Entry) (basillift.Version, uint64, error) {
	var version basillift.Version
	if t.Version != nil {
		parsed, err := basillift.ParseVersion(*t.Version)
		if err != nil {
			return version, 0, fmt.Errorf("field version: %w", err)
		}
		version = parsed
	}
	if t.Digest == nil {
		return version, 0, nil
	}
	digest, err := strconv.ParseUint(*t.Digest, 16, 64)
	if err != nil {
		return version, 0, fmt.Errorf("field digest %q: %w", *t.Digest, ErrLine)
	}
	return version, digest, nil
}

// Encode returns one event as a JSON object without a trailing newline.
func Encode(e basillift.Event) ([]byte, error) {
	data, err := json.Marshal(EntryOf(e))
	if err != nil {
		return nil, fmt.Errorf("encode event: %w", err)
	}
	return data, nil
}

// EntryOf converts an event to the type generated from the JSON schema, for programs that
// write JSON.
func EntryOf(e basillift.Event) Entry {
	t := Entry{
		At:          int(e.At().UnixNano()),
		Vm:          string(e.VM()),
		Incarnation: int(e.Incarnation()),
		Sequence:    int(e.Sequence()),
		Kind:        string(e.Kind()),
		Call:        pointer(e.Call()),
		Customer:    pointer(e.Customer()),
		Service:     pointer(e.Service()),
		Method:      pointer(e.Method()),
		Key:         pointer(e.Key()),
		Target:      pointer(string(e.Target())),
		State:       pointer(string(e.State())),
		Outcome:     pointer(string(e.Outcome())),
		Reason:      pointer(string(e.Reason())),
		Status:      pointer(e.Status()),
		Detail:      pointer(e.Detail()),
	}
	if !e.Version().IsZero() {
		t.Version = pointer(e.Version().String())
	}
	if e.Digest() != 0 {
		t.Digest = pointer(strconv.FormatUint(e.Digest(), 16))
	}
	return t
}

// pointer returns a pointer to v, or nil for a zero value, so that the JSON field is omitted.
func pointer[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}

func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
