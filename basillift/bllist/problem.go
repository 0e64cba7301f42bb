package bllist

import (
	"fmt"
	"strings"

	"basillift.dev/basillift"
)

// MaxProblems is the maximum number of problems in one report. Even if every line of a
// list has a problem, the report stays readable and small enough for a notice.
const MaxProblems = 100

// Kind is the category of a problem.
type Kind string

// Kinds of problems.
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

// Problem is a defect for which a list is refused.
type Problem struct {
	kind    Kind
	key     string
	field   string
	found   string
	allowed string
}

// Kind returns the category of the problem.
func (p Problem) Kind() Kind { return p.kind }

// Key returns the platform's key of the invalid value, such as "customers" or "plans.2".
func (p Problem) Key() string { return p.key }

// Field returns the path of the invalid field, such as "customers[3].plan". It is ""
// for a problem of the whole value.
func (p Problem) Field() string { return p.field }

// Found describes what the field contains.
func (p Problem) Found() string { return p.found }

// Allowed describes what the field may contain.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem as one readable line.
func (p Problem) String() string {
	place := p.key
	if p.field != "" {
		place += ": " + p.field
	}
	return fmt.Sprintf("%s: found %s; allowed: %s", place, p.found, p.allowed)
}

// InvalidError means that a version is refused as a whole. It unwraps to
// basillift.ErrRefused.
type InvalidError struct {
	version  basillift.Version
	problems []Problem
	more     bool
}

// Version returns the refused version. Its epoch is 0 if no epoch could be decoded.
func (e *InvalidError) Version() basillift.Version { return e.version }

// Problems returns the problems found, at most MaxProblems. Callers must not modify
// the slice.
func (e *InvalidError) Problems() []Problem { return e.problems }

// MayHaveMore reports whether there may be problems beyond MaxProblems.
func (e *InvalidError) MayHaveMore() bool { return e.more }

// Error returns the first problem and the number of further ones.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %s is invalid: %s", e.version, e.problems[0])
	if len(e.problems) > 1 {
		fmt.Fprintf(&text, " (and %d more)", len(e.problems)-1)
	}
	return text.String()
}

// Unwrap always returns basillift.ErrRefused.
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

// quoteTruncated quotes a string from a list and truncates it to 64 bytes, because a
// list may contain strings of any length.
func quoteTruncated(text string) string {
	const limit = 64
	if len(text) <= limit {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q (shortened from %d bytes)", text[:limit], len(text))
}
