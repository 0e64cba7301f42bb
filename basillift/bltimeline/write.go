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

// Format is how a timeline is written.
type Format string

// The formats of a timeline.
const (
	FormatText  Format = "text"
	FormatJSON  Format = "json"
	FormatTrace Format = "trace"
)

// ErrFormat means that a format has an unknown name.
var ErrFormat = eris.New("format must be text, json or trace")

// Write writes the events in the given format.
func Write(w io.Writer, f Format, events []basillift.Event) error {
	buffered := bufio.NewWriter(w)
	var err error
	switch f {
	case FormatText:
		err = writeText(buffered, events)
	case FormatJSON:
		err = writeLines(buffered, events)
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

func writeLines(w io.Writer, events []basillift.Event) error {
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
			e.At().UTC().Format("15:04:05.000000"), e.VM(), e.Kind(), describe(e))
		if err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

// describe joins the fields that are present as name=value.
func describe(e basillift.Event) string {
	t := EntryOf(e)
	var parts []string
	add := func(name string, v *string) {
		if v != nil {
			parts = append(parts, name+"="+*v)
		}
	}
	add("version", t.Version)
	add("call", t.Call)
	add("customer", t.Customer)
	add("service", t.Service)
	add("method", t.Method)
	add("key", t.Key)
	add("target", t.Target)
	add("state", t.State)
	add("outcome", t.Outcome)
	add("reason", t.Reason)
	if t.Status != nil {
		parts = append(parts, fmt.Sprintf("status=%d", *t.Status))
	}
	add("detail", t.Detail)
	return strings.Join(parts, " ")
}

// traceEvent is one entry of the trace-event format; its field names are fixed by that format.
type traceEvent struct {
	Name  string `json:"name"`
	Phase string `json:"ph"`
	Scope string `json:"s,omitempty"`
	Micro int64  `json:"ts"`
	PID   int    `json:"pid"`
	TID   int    `json:"tid"`
	Args  any    `json:"args"`
}

type processName struct {
	Name string `json:"name"`
}

// writeTrace shows each VM as a process of the trace viewer and each event as an instant.
func writeTrace(w io.Writer, events []basillift.Event) error {
	numbers := map[basillift.VMID]int{}
	entries := make([]traceEvent, 0, len(events))
	for _, e := range events {
		number, known := numbers[e.VM()]
		if !known {
			number = len(numbers) + 1
			numbers[e.VM()] = number
			entries = append(entries, traceEvent{
				Name: "process_name", Phase: "M", PID: number, Args: processName{Name: string(e.VM())},
			})
		}
		entries = append(entries, traceEvent{
			Name: string(e.Kind()), Phase: "i", Scope: "p", Micro: e.At().UnixMicro(),
			PID: number, TID: 1, Args: EntryOf(e),
		})
	}
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		return fmt.Errorf("write trace events: %w", err)
	}
	return nil
}
