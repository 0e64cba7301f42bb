package bllist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// MaxValueBytes is the platform's size limit for one value, in bytes.
const MaxValueBytes = 1 << 20

// maxPlanLimit is the maximum of a plan's rate in calls/s and of its concurrency in
// calls. It ensures that sums over all customers fit in an int.
const maxPlanLimit = 1_000_000_000

// maxEpoch is the largest integer up to which every JSON implementation represents
// all integers exactly, including those that use float64.
const maxEpoch = 1<<53 - 1

// path is the location of a field within a value. It is formatted as a string only
// when a problem is reported.
type path struct {
	parent *path
	name   string
	index  int
}

func (p *path) child(name string) *path { return &path{parent: p, name: name} }
func (p *path) item(index int) *path    { return &path{parent: p, index: index} }

func (p *path) String() string {
	switch {
	case p == nil:
		return ""
	case p.name == "":
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	case p.parent == nil:
		return p.name
	default:
		return p.parent.String() + "." + p.name
	}
}

// strictDecoder decodes one value token by token and reports all its problems.
// json.Unmarshal would accept duplicate field names, ignore the case of field names
// and stop at the first wrong type.
type strictDecoder struct {
	key     string
	decoder *json.Decoder
	report  *report
}

// newStrictDecoder returns false after reporting a problem if the value is larger than
// MaxValueBytes, is not valid UTF-8 or is not well-formed JSON.
func newStrictDecoder(key string, data []byte, r *report) (*strictDecoder, bool) {
	d := &strictDecoder{key: key, report: r}
	if len(data) > MaxValueBytes {
		d.problem(KindOversize, nil, fmt.Sprintf("%d bytes", len(data)),
			fmt.Sprintf("at most %d bytes; split a larger list into parts", MaxValueBytes))
		return d, false
	}
	if offset := invalidUTF8(data); offset >= 0 {
		d.problem(KindEncoding, nil, fmt.Sprintf("byte 0x%02x at offset %d", data[offset], offset), "UTF-8")
		return d, false
	}
	if !d.wellFormed(data) {
		return d, false
	}
	d.decoder = json.NewDecoder(bytes.NewReader(data))
	d.decoder.UseNumber()
	return d, true
}

func invalidUTF8(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}

func (d *strictDecoder) wellFormed(data []byte) bool {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return true
	}
	syntax, ok := errors.AsType[*json.SyntaxError](err)
	if !ok {
		d.problem(KindSyntax, nil, err.Error(), "one JSON value")
		return false
	}
	kind := KindSyntax
	if syntax.Error() == "unexpected end of JSON input" {
		kind = KindTruncated
	}
	d.problem(kind, nil, fmt.Sprintf("%s at offset %d", syntax.Error(), syntax.Offset), "one JSON value")
	return false
}

func (d *strictDecoder) problem(k Kind, at *path, found, allowed string) {
	d.report.add(Problem{kind: k, key: d.key, field: at.String(), found: found, allowed: allowed})
}

// nextToken returns the next token. No error can occur, because newStrictDecoder has
// checked that the value is well-formed.
func (d *strictDecoder) nextToken() json.Token {
	token, err := d.decoder.Token()
	if err != nil {
		return nil
	}
	return token
}

// more reports whether the current array or object has another element. It returns
// false once the report is full, which ends all loops.
func (d *strictDecoder) more() bool { return !d.report.full() && d.decoder.More() }

// object decodes an object and calls field for each field name. For an unknown name,
// field must return false without reading the value.
func (d *strictDecoder) object(at *path, required []string, field func(name string, at *path) bool) {
	if !d.openDelimiter(at, '{', "an object") {
		return
	}
	var buffer [8]string
	seen := buffer[:0]
	for d.more() {
		name, _ := d.nextToken().(string)
		child := at.child(name)
		if slices.Contains(seen, name) {
			d.problem(KindDuplicate, child, "the name "+quoteTruncated(name)+" twice", "each name once")
			d.skip(d.nextToken())
			continue
		}
		seen = append(seen, name)
		if !field(name, child) {
			d.problem(KindUnknown, child, "an unknown field", "only the fields of the list's schema")
			d.skip(d.nextToken())
		}
	}
	d.nextToken()
	for _, n := range required {
		if !slices.Contains(seen, n) {
			d.problem(KindMissing, at.child(n), "nothing", "a value; the field is required")
		}
	}
}

// array decodes an array and calls item for each element. It reports an empty array as
// a problem.
func (d *strictDecoder) array(at *path, item func(at *path)) {
	if !d.openDelimiter(at, '[', "an array") {
		return
	}
	count := 0
	for ; d.more(); count++ {
		item(at.item(count))
	}
	d.nextToken()
	if count == 0 {
		d.problem(KindEmpty, at, "an empty list", "at least one entry")
	}
}

func (d *strictDecoder) openDelimiter(at *path, delimiter json.Delim, allowed string) bool {
	token := d.nextToken()
	if token == delimiter {
		return true
	}
	d.problem(KindType, at, describeToken(token), allowed)
	d.skip(token)
	return false
}

// stringValue decodes a string. It returns false after reporting a value of another
// type.
func (d *strictDecoder) stringValue(at *path) (string, bool) {
	token := d.nextToken()
	text, ok := token.(string)
	if !ok {
		d.problem(KindType, at, describeToken(token), "a text")
		d.skip(token)
	}
	return text, ok
}

// name decodes the name of a customer, plan, service, VM, failure domain or region.
func (d *strictDecoder) name(at *path) string {
	text, ok := d.stringValue(at)
	if ok && !validName(text) {
		d.problem(KindRange, at, quoteTruncated(text), "1 to 128 letters, digits, dots, hyphens and underscores")
	}
	return text
}

func (d *strictDecoder) integer(at *path, minimum, maximum int64) int {
	token := d.nextToken()
	number, ok := token.(json.Number)
	if !ok {
		d.problem(KindType, at, describeToken(token), "a whole number")
		d.skip(token)
		return 0
	}
	value, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil || value < minimum || value > maximum {
		d.problem(KindRange, at, truncateNumber(number.String()), fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
		return 0
	}
	return int(value)
}

// skip reads and discards the rest of the value that starts with the given token.
func (d *strictDecoder) skip(token json.Token) {
	depth := 0
	for {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 || token == nil && depth == 0 {
			return
		}
		var err error
		if token, err = d.decoder.Token(); err != nil {
			return
		}
	}
}

func describeToken(token json.Token) string {
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "the text " + quoteTruncated(t)
	case json.Number:
		return "the number " + truncateNumber(t.String())
	case bool:
		return strconv.FormatBool(t)
	default:
		return "null"
	}
}

func truncateNumber(text string) string {
	if len(text) <= 32 {
		return text
	}
	return text[:32] + "..."
}

func validName(text string) bool {
	if text == "" || len(text) > 128 {
		return false
	}
	for _, c := range []byte(text) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
