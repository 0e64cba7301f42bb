package labtarget

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// MaxResponseBytes limits the response size that a caller can request.
const MaxResponseBytes = 64 << 20

// checksumLength is the length of the hexadecimal checksum at the end of a response.
const checksumLength = sha256.Size * 2

// Errors that callers compare with errors.Is.
var (
	// ErrCorrupted means that a response is truncated or that its bytes were changed.
	ErrCorrupted = eris.New("response is truncated or corrupted")
	// ErrWrongCall means that an intact response belongs to another call.
	ErrWrongCall = eris.New("response belongs to another call")
)

// Response is the content of the body that a target sends: the call that it
// answers and what the target read. On the wire it is a line of JSON, padding up
// to the requested size, and the hexadecimal sha256 of all preceding bytes.
type Response struct {
	callID    string
	target    string
	runCount  int
	bytesRead int64
	checksum  string
}

// responseJSON is the JSON line of a Response.
type responseJSON struct {
	CallID    string `json:"call"`
	Target    string `json:"target"`
	RunCount  int    `json:"run"`
	BytesRead int64  `json:"read"`
	Checksum  string `json:"sum"`
}

// NewResponse returns the response to a call. bytesRead and checksum are those of
// the request body.
func NewResponse(callID, target string, runCount int, bytesRead int64, checksum string) Response {
	return Response{callID: callID, target: target, runCount: runCount, bytesRead: bytesRead, checksum: checksum}
}

// CallID is the id of the answered call.
func (r Response) CallID() string { return r.callID }

// Target is the name of the target that answered.
func (r Response) Target() string { return r.target }

// RunCount is how often the call has run at that target, this run included.
func (r Response) RunCount() int { return r.runCount }

// BytesRead is the number of bytes that the target read from the request body.
func (r Response) BytesRead() int64 { return r.bytesRead }

// Checksum is the hexadecimal sha256 of the request body.
func (r Response) Checksum() string { return r.checksum }

// Encode returns the bytes of the response, padded to at least size bytes.
func (r Response) Encode(size int) ([]byte, error) {
	line, err := json.Marshal(responseJSON{CallID: r.callID, Target: r.target, RunCount: r.runCount, BytesRead: r.bytesRead, Checksum: r.checksum})
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	line = append(line, '\n')
	if padding := size - len(line) - checksumLength; padding > 0 {
		line = append(line, bytes.Repeat([]byte{'.'}, padding)...)
	}
	sum := sha256.Sum256(line)
	return hex.AppendEncode(line, sum[:]), nil
}

// DecodeResponse decodes data and verifies that it is one complete response to the
// call.
func DecodeResponse(data []byte, callID string) (Response, error) {
	if len(data) < checksumLength {
		return Response{}, fmt.Errorf("response of %d bytes: %w", len(data), ErrCorrupted)
	}
	content, sentChecksum := data[:len(data)-checksumLength], data[len(data)-checksumLength:]
	sum := sha256.Sum256(content)
	if hex.EncodeToString(sum[:]) != string(sentChecksum) {
		return Response{}, fmt.Errorf("checksum of a response of %d bytes: %w", len(data), ErrCorrupted)
	}
	line, _, _ := bytes.Cut(content, []byte{'\n'})
	var body responseJSON
	if err := json.Unmarshal(line, &body); err != nil {
		return Response{}, fmt.Errorf("decode response: %w", err)
	}
	if body.CallID != callID {
		return Response{}, fmt.Errorf("response to call %q received for call %q: %w", body.CallID, callID, ErrWrongCall)
	}
	return NewResponse(body.CallID, body.Target, body.RunCount, body.BytesRead, body.Checksum), nil
}
