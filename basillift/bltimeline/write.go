package bltimeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// Format is the output format of a timeline.
type Format string

// The formats of a timeline.
const (
	FormatText  Format = "text"
	FormatJSON  Format = "json"
	FormatTrace Format = "trace"
)

// ErrFormat is returned for an unknown format name.
var ErrFormat = eris.New("format must be text, json or trace")

// Write writes the events in the given format, in the given order. An unknown format is
// ErrFormat.
func Write(w io.Writer, f Format, events []basillift.Event) error {
	buffered := bufio.NewWriter(w)
	var err error
	switch f {
	case FormatText:
		err = writeText(buffered, events)
	case FormatJSON:
		err = writeJSONLines(buffered, events)
	case FormatTrace:
		err = writeTrace(buffered, events)
	default:
		err = fmt.Errorf("write timeline as %q: %w", f, ErrFormat)
	}
	if err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("flush timeline: %w", err)
	}
	return nil
}

func writeJSONLines(w io.Writer, events []basillift.Event) error {
	for _, e := range events {
		line, err := Encode(e)
		if err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

func writeText(w io.Writer, events []basillift.Event) error {
	for _, e := range events {
		_, err := fmt.Fprintf(w, "%s %-8s %-18s %s\n",
			e.At().UTC().Format("15:04:05.000000"), e.VM(), e.Kind(), formatFields(e))
		if err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

// formatFields formats the non-empty fields as name=value pairs.
func formatFields(e basillift.Event) string {
	entry := EntryOf(e)
	var parts []string
	add := func(name string, v *string) {
		if v != nil {
			parts = append(parts, name+"="+*v)
		}
	}
	add("version", entry.Version)
	add("call", entry.Call)
	add("customer", entry.Customer)
	add("service", entry.Service)
	add("method", entry.Method)
	add("key", entry.Key)
	add("target", entry.Target)
	add("state", entry.State)
	add("outcome", entry.Outcome)
	add("reason", entry.Reason)
	if entry.Status != nil {
		parts = append(parts, fmt.Sprintf("status=%d", *entry.Status))
	}
	add("detail", entry.Detail)
	return strings.Join(parts, " ")
}

// traceEvent is an entry of the trace-event format, which defines the JSON field names.
type traceEvent struct {
	Name            string `json:"name"`
	Phase           string `json:"ph"`
	Scope           string `json:"s,omitempty"`
	TimestampMicros int64  `json:"ts"`
	PID             int    `json:"pid"`
	TID             int    `json:"tid"`
	Args            any    `json:"args"`
}

type processName struct {
	Name string `json:"name"`
}

// writeTrace writes each VM as a process of the trace viewer and each event as an instant
// event.
func writeTrace(w io.Writer, events []basillift.Event) error {
	pids := map[basillift.VMID]int{}
	entries := make([]traceEvent, 0, len(events))
	for _, e := range events {
		pid, known := pids[e.VM()]
		if !known {
			pid = len(pids) + 1
			pids[e.VM()] = pid
			entries = append(entries, traceEvent{
				Name: "process_name", Phase: "M", PID: pid, Args: processName{Name: string(e.VM())},
			})
		}
		entries = append(entries, traceEvent{
			Name: string(e.Kind()), Phase: "i", Scope: "p", TimestampMicros: e.At().UnixMicro(),
			PID: pid, TID: 1, Args: EntryOf(e),
		})
	}
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		return fmt.Errorf("write trace events: %w", err)
	}
	return nil
}
