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

// MaxValue is the platform's limit for one value, in bytes.
const MaxValue = 1 << 20

// maxNumber bounds rate and concurrency, so that sums over customers fit in an int.
const maxNumber = 1_000_000_000

// maxEpoch is the largest whole number that every JSON reader represents exactly.
const maxEpoch = 1<<53 - 1

// path is the place of a field within a value. Its text is made only for a problem.
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

// walker decodes one value token by token. encoding/json alone accepts duplicate
// names, ignores the case of names and stops at the first wrong type.
type walker struct {
	key     string
	decoder *json.Decoder
	report  *report
}

// newWalker returns false after reporting when the value is not well-formed JSON.
func newWalker(key string, data []byte, r *report) (*walker, bool) {
	w := &walker{key: key, report: r}
	if len(data) > MaxValue {
		w.problem(KindOversize, nil, fmt.Sprintf("%d bytes", len(data)),
			fmt.Sprintf("at most %d bytes; split a larger list into parts", MaxValue))
		return w, false
	}
	if offset := invalidUTF8(data); offset >= 0 {
		w.problem(KindEncoding, nil, fmt.Sprintf("byte 0x%02x at offset %d", data[offset], offset), "UTF-8")
		return w, false
	}
	if !w.wellFormed(data) {
		return w, false
	}
	w.decoder = json.NewDecoder(bytes.NewReader(data))
	w.decoder.UseNumber()
	return w, true
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

func (w *walker) wellFormed(data []byte) bool {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return true
	}
	syntax, ok := errors.AsType[*json.SyntaxError](err)
	if !ok {
		w.problem(KindSyntax, nil, err.Error(), "one JSON value")
		return false
	}
	kind := KindSyntax
	if syntax.Error() == "unexpected end of JSON input" {
		kind = KindTruncated
	}
	w.problem(kind, nil, fmt.Sprintf("%s at offset %d", syntax.Error(), syntax.Offset), "one JSON value")
	return false
}

func (w *walker) problem(k Kind, at *path, found, allowed string) {
	w.report.add(Problem{kind: k, key: w.key, field: at.String(), found: found, allowed: allowed})
}

// next returns the next token. The value is well-formed, so an error cannot occur.
func (w *walker) next() json.Token {
	token, err := w.decoder.Token()
	if err != nil {
		return nil
	}
	return token
}

// more also ends every loop once the report is full.
func (w *walker) more() bool { return !w.report.full() && w.decoder.More() }

// object calls field for each name. Field returns false, having read nothing, for an unknown name.
func (w *walker) object(at *path, required []string, field func(name string, at *path) bool) {
	if !w.open(at, '{', "an object") {
		return
	}
	var buffer [8]string
	seen := buffer[:0]
	for w.more() {
		name, _ := w.next().(string)
		child := at.child(name)
		if slices.Contains(seen, name) {
			w.problem(KindDuplicate, child, "the name "+quoted(name)+" twice", "each name once")
			w.skip(w.next())
			continue
		}
		seen = append(seen, name)
		if !field(name, child) {
			w.problem(KindUnknown, child, "an unknown field", "only the fields of the list's schema")
			w.skip(w.next())
		}
	}
	w.next()
	for _, n := range required {
		if !slices.Contains(seen, n) {
			w.problem(KindMissing, at.child(n), "nothing", "a value; the field is required")
		}
	}
}

// array calls item for each element and reports an array without any.
func (w *walker) array(at *path, item func(at *path)) {
	if !w.open(at, '[', "an array") {
		return
	}
	count := 0
	for ; w.more(); count++ {
		item(at.item(count))
	}
	w.next()
	if count == 0 {
		w.problem(KindEmpty, at, "an empty list", "at least one entry")
	}
}

func (w *walker) open(at *path, delimiter json.Delim, allowed string) bool {
	token := w.next()
	if token == delimiter {
		return true
	}
	w.problem(KindType, at, describe(token), allowed)
	w.skip(token)
	return false
}

// text returns false after reporting a value that is no text.
func (w *walker) text(at *path) (string, bool) {
	token := w.next()
	text, ok := token.(string)
	if !ok {
		w.problem(KindType, at, describe(token), "a text")
		w.skip(token)
	}
	return text, ok
}

// name reads a text that names a customer, plan, service, VM, failure domain or region.
func (w *walker) name(at *path) string {
	text, ok := w.text(at)
	if ok && !validName(text) {
		w.problem(KindRange, at, quoted(text), "1 to 128 letters, digits, dots, hyphens and underscores")
	}
	return text
}

func (w *walker) whole(at *path, least, most int64) int {
	token := w.next()
	number, ok := token.(json.Number)
	if !ok {
		w.problem(KindType, at, describe(token), "a whole number")
		w.skip(token)
		return 0
	}
	value, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil || value < least || value > most {
		w.problem(KindRange, at, shortened(number.String()), fmt.Sprintf("a whole number from %d to %d", least, most))
		return 0
	}
	return int(value)
}

// skip reads the rest of the value that starts with the given token.
func (w *walker) skip(token json.Token) {
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
		if token, err = w.decoder.Token(); err != nil {
			return
		}
	}
}

func describe(token json.Token) string {
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "the text " + quoted(t)
	case json.Number:
		return "the number " + shortened(t.String())
	case bool:
		return strconv.FormatBool(t)
	default:
		return "null"
	}
}

func shortened(text string) string {
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
