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
	var entry Entry
	if err := json.Unmarshal(data, &entry); err != nil {
		return basillift.Event{}, fmt.Errorf("decode event: %w", errors.Join(ErrLine, err))
	}
	if entry.Kind == "" || entry.Vm == "" || entry.Incarnation < 0 || entry.Sequence < 0 {
		return basillift.Event{}, fmt.Errorf("decode event: vm or kind missing, or incarnation or sequence negative: %w", ErrLine)
	}
	version, digest, err := decodeVersion(entry)
	if err != nil {
		return basillift.Event{}, fmt.Errorf("decode event: %w", err)
	}
	e := basillift.NewEvent(time.Unix(0, int64(entry.At)).UTC(), basillift.EventKind(entry.Kind)).
		WithOrigin(basillift.VMID(entry.Vm), uint64(entry.Incarnation), uint64(entry.Sequence)).
		WithVersion(version, digest).
		WithCall(value(entry.Call), value(entry.Customer), value(entry.Service), value(entry.Method)).
		WithKey(value(entry.Key)).
		WithTarget(basillift.VMID(value(entry.Target))).
		WithState(basillift.TargetState(value(entry.State))).
		WithOutcome(basillift.Outcome(value(entry.Outcome)), basillift.Reason(value(entry.Reason)), value(entry.Status)).
		WithDetail(value(entry.Detail))
	return e, nil
}

func decodeVersion(entry Entry) (basillift.Version, uint64, error) {
	var version basillift.Version
	if entry.Version != nil {
		parsed, err := basillift.ParseVersion(*entry.Version)
		if err != nil {
			return version, 0, fmt.Errorf("field version: %w", err)
		}
		version = parsed
	}
	if entry.Digest == nil {
		return version, 0, nil
	}
	digest, err := strconv.ParseUint(*entry.Digest, 16, 64)
	if err != nil {
		return version, 0, fmt.Errorf("field digest %q: %w", *entry.Digest, ErrLine)
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
	entry := Entry{
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
		entry.Version = pointer(e.Version().String())
	}
	if e.Digest() != 0 {
		entry.Digest = pointer(strconv.FormatUint(e.Digest(), 16))
	}
	return entry
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
