package blhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Body returns a reader for the body behind the head. Its Read returns io.EOF at the end of the body. A body that ends with its
// connection ends where reading from that returns io.EOF.
func (h *Head) Body(reader *bufio.Reader) io.Reader {
	switch {
	case h.bodyless:
		return NewSizedReader(reader, 0)
	case h.chunked:
		return &chunkedReader{reader: reader}
	case h.length >= 0:
		return NewSizedReader(reader, h.length)
	default:
		return &closeReader{reader: reader}
	}
}

// BodyError returns the error of a read that has not reached the end of a body. It wraps ErrTruncated if the connection ended.
func BodyError(err error) error { return truncation("body", err) }

// closeReader reads a body that ends with its connection.
type closeReader struct{ reader *bufio.Reader }

// Read implements io.Reader.
func (c *closeReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, io.EOF
	}
	return n, BodyError(err)
}

// sizedReader reads a body of known size.
type sizedReader struct {
	reader *bufio.Reader
	left   int
}

// NewSizedReader returns a reader of a body with a size in bytes. Its Read returns io.EOF at the end of the body, and an error that
// wraps io.ErrUnexpectedEOF if the connection ends before.
func NewSizedReader(reader *bufio.Reader, size int) io.Reader {
	return &sizedReader{reader: reader, left: size}
}

// Read implements io.Reader.
func (s *sizedReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	if s.left == 0 {
		return n, io.EOF
	}
	return n, BodyError(err)
}

// chunkedReader reads a body in chunks (RFC 9112, section 7.1). It ignores extensions and drops trailers, but checks both.
type chunkedReader struct {
	reader *bufio.Reader
	// left is what remains of the current chunk.
	left int64
	// begun is set once there was a chunk, which has a line end behind its data.
	begun bool
	err   error
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.left == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	c.err = BodyError(err)
	return n, c.err
}

// nextChunk reads the line before the data of a chunk. It returns io.EOF behind the trailers.
func (c *chunkedReader) nextChunk() error {
	if c.begun {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return malformed("%.40q behind the data of a chunk", line)
		}
	}
	c.begun = true
	line, err := c.line()
	if err != nil {
		return err
	}
	if c.left, err = parseChunkSize(line); err != nil || c.left > 0 {
		return err
	}
	trailers := lineReader{reader: c.reader, part: "trailers", left: maxHeadBytes, begun: true}
	if _, err = trailers.fields(); err != nil {
		return fmt.Errorf("read trailers: %w", err)
	}
	return io.EOF
}

// line reads a line without its end, which is valid until the next read.
func (c *chunkedReader) line() ([]byte, error) {
	lines := lineReader{reader: c.reader, part: "body", left: maxHeadBytes, begun: true}
	return lines.next()
}

// parseChunkSize parses the size of a chunk, behind which extensions may follow.
func parseChunkSize(line []byte) (int64, error) {
	size, extensions, extended := bytes.Cut(line, []byte(";"))
	if extended {
		// Blanks may precede an extension, but not the end of the line.
		size = bytes.TrimRight(size, " \t")
	}
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || !isText(extensions) {
		return 0, malformed("size of chunk %.40q", line)
	}
	return int64(n), nil
}
