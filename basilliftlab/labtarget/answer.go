package labtarget

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// MaximumAnswer bounds the size in bytes that a caller can ask for.
const MaximumAnswer = 64 << 20

// sumSize is the length of the hexadecimal checksum at the end of an answer.
const sumSize = sha256.Size * 2

// Errors that callers compare with errors.Is.
var (
	// ErrCut means that an answer ends early or its bytes were changed.
	ErrCut = eris.New("answer is cut or changed")
	// ErrCrossed means that a whole answer belongs to another call.
	ErrCrossed = eris.New("answer belongs to another call")
)

// Answer is the content of the body that a target sends: which call it
// answers and what the target read. On the wire it is a line of JSON, filler up
// to the wanted size, and the sha256 over everything before.
type Answer struct {
	call   string
	target string
	run    int
	read   int64
	sum    string
}

// answerBody is the JSON form of Answer.
type answerBody struct {
	Call   string `json:"call"`
	Target string `json:"target"`
	Run    int    `json:"run"`
	Read   int64  `json:"read"`
	Sum    string `json:"sum"`
}

// NewAnswer returns the answer to a call whose request body had a length and a checksum.
func NewAnswer(call, target string, run int, read int64, sum string) Answer {
	return Answer{call: call, target: target, run: run, read: read, sum: sum}
}

// Call is the id of the answered call.
func (a Answer) Call() string { return a.call }

// Target names the target that answered.
func (a Answer) Target() string { return a.target }

// Run is how often the call had run at that target.
func (a Answer) Run() int { return a.run }

// Read is the number of bytes of the request body.
func (a Answer) Read() int64 { return a.read }

// Sum is the hexadecimal sha256 of the request body.
func (a Answer) Sum() string { return a.sum }

// Encode returns the bytes of the answer, filled to at least size bytes.
func (a Answer) Encode(size int) ([]byte, error) {
	line, err := json.Marshal(answerBody{Call: a.call, Target: a.target, Run: a.run, Read: a.read, Sum: a.sum})
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	line = append(line, '\n')
	if missing := size - len(line) - sumSize; missing > 0 {
		line = append(line, bytes.Repeat([]byte{'.'}, missing)...)
	}
	sum := sha256.Sum256(line)
	return hex.AppendEncode(line, sum[:]), nil
}

// DecodeAnswer checks that the bytes are one whole answer to the call.
func DecodeAnswer(data []byte, call string) (Answer, error) {
	if len(data) < sumSize {
		return Answer{}, fmt.Errorf("answer of %d bytes: %w", len(data), ErrCut)
	}
	content, sent := data[:len(data)-sumSize], data[len(data)-sumSize:]
	sum := sha256.Sum256(content)
	if hex.EncodeToString(sum[:]) != string(sent) {
		return Answer{}, fmt.Errorf("checksum of %d bytes: %w", len(data), ErrCut)
	}
	line, _, _ := bytes.Cut(content, []byte{'\n'})
	var body answerBody
	if err := json.Unmarshal(line, &body); err != nil {
		return Answer{}, fmt.Errorf("decode answer: %w", err)
	}
	if body.Call != call {
		return Answer{}, fmt.Errorf("answer to %q for %q: %w", body.Call, call, ErrCrossed)
	}
	return NewAnswer(body.Call, body.Target, body.Run, body.Read, body.Sum), nil
}
