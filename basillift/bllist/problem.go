package bllist

import (
	"fmt"
	"strings"

	"basillift.dev/basillift"
)

// MaxProblems bounds the problems of one report, so that a list that is broken
// in every line still gives a report that a human can read and a notice can carry.
const MaxProblems = 100

// Kind says in one word what is wrong.
type Kind string

// The kinds of problems.
const (
	KindSyntax    Kind = "syntax"
	KindTruncated Kind = "truncated"
	KindEncoding  Kind = "encoding"
	KindOversize  Kind = "oversize"
	KindType      Kind = "type"
	KindUnknown   Kind = "unknown"
	KindDuplicate Kind = "duplicate"
	KindMissing   Kind = "missing"
	KindEmpty     Kind = "empty"
	KindRange     Kind = "range"
	KindReference Kind = "reference"
	KindPart      Kind = "part"
)

// Problem is one reason for refusing a list.
type Problem struct {
	kind    Kind
	key     string
	field   string
	found   string
	allowed string
}

// Kind says in one word what is wrong.
func (p Problem) Kind() Kind { return p.kind }

// Key is the platform's key of the value concerned, such as "customers" or "plans.2".
func (p Problem) Key() string { return p.key }

// Field is the place in the value, such as "customers[3].plan"; "" means the whole value.
func (p Problem) Field() string { return p.field }

// Found is what the list holds there.
func (p Problem) Found() string { return p.found }

// Allowed is what the list may hold there.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem as one line for a human.
func (p Problem) String() string {
	place := p.key
	if p.field != "" {
		place += ": " + p.field
	}
	return fmt.Sprintf("%s: found %s; allowed: %s", place, p.found, p.allowed)
}

// InvalidError is the refusal of a version as a whole. It unwraps to basillift.ErrRefused.
type InvalidError struct {
	version  basillift.Version
	problems []Problem
	more     bool
}

// Version is the refused version. Its epoch is 0 when no epoch could be read.
func (e *InvalidError) Version() basillift.Version { return e.version }

// Problems are the problems found, at most MaxProblems. Callers must not change them.
func (e *InvalidError) Problems() []Problem { return e.problems }

// More reports whether there may be problems beyond MaxProblems.
func (e *InvalidError) More() bool { return e.more }

// Error gives the first problem and the number of the others.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %s is invalid: %s", e.version, e.problems[0])
	if len(e.problems) > 1 {
		fmt.Fprintf(&text, " (and %d more)", len(e.problems)-1)
	}
	return text.String()
}

// Unwrap returns basillift.ErrRefused.
func (e *InvalidError) Unwrap() error { return basillift.ErrRefused }

// report collects problems up to MaxProblems.
type report struct {
	problems []Problem
	more     bool
}

func (r *report) add(p Problem) {
	if r.full() {
		r.more = true
		return
	}
	r.problems = append(r.problems, p)
}

func (r *report) full() bool { return len(r.problems) >= MaxProblems }

func (r *report) err(version basillift.Version) error {
	if len(r.problems) == 0 {
		return nil
	}
	return &InvalidError{version: version, problems: r.problems, more: r.more || r.full()}
}

// quoted shortens a found text: a list may hold a text of any length.
func quoted(text string) string {
	const limit = 64
	if len(text) <= limit {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q (shortened from %d bytes)", text[:limit], len(text))
}
