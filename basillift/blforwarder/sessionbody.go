package blforwarder

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// pipelineRetryInterval is how often a session whose peer sends requests ahead looks whether there is memory for the next one.
const pipelineRetryInterval = 10 * time.Millisecond

// awaitBytes waits until a byte of the next request can be read, and then takes a buffer. An idle session holds none.
func (s *session) awaitBytes() error {
	if s.reader == nil || s.reader.Buffered() == 0 {
		s.releaseReader()
		if err := s.awaitReadable(); err != nil {
			return err
		}
	}
	for s.busy() && s.server.peers.exhausted() {
		// The requests before this one will be answered, and their memory released.
		time.Sleep(pipelineRetryInterval)
		s.cancelIfDisconnected()
	}
	s.attachReader()
	if _, err := s.reader.Peek(1); err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	return nil
}

// awaitReadable waits until the connection has bytes or is closed by the peer.
func (s *session) awaitReadable() error {
	if s.socket == nil {
		return nil
	}
	err := s.socket.Read(blpool.ReadableDescriptor)
	if err != nil {
		return fmt.Errorf("wait for request: %w", err)
	}
	return nil
}

// attachReader takes a buffer for the next request, if the session has none.
func (s *session) attachReader() {
	if s.reader == nil {
		size := max(blpool.BufferBytes, s.handler.connLimits().headerBytes)
		s.reader = s.server.buffers.reader(progressReader{s}, size)
		s.server.peers.memory.add(s.reader.Size())
	}
}

// releaseReader returns the buffer, with the bytes in it.
func (s *session) releaseReader() {
	if s.reader != nil {
		s.server.peers.memory.add(-s.reader.Size())
		s.server.buffers.putReader(s.reader)
		s.reader = nil
	}
}

// readBody reads the body of a request, or the first part of a large one. A body that does not arrive while the request can be
// answered is an error.
func (s *session) readBody(r *request, limit int) error {
	if r.size >= 0 && r.size <= s.reader.Buffered() {
		return r.readBody(s.reader, limit)
	}
	s.progress.reading.Store(r.memory)
	_ = s.conn.SetReadDeadline(s.handler.answerDeadline(r))
	if s.progress.gaveWay.Load() {
		s.interruptRead()
	}
	err := r.readBody(s.reader, limit)
	if err != nil || r.stream == nil {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	return err
}

// bodyStalled reports whether the body that is arriving has made no progress for some time.
func (s *session) bodyStalled() bool {
	return s.progress.requestStalled(time.Now()) >= minReportedStall
}

// endBody notes that no body is arriving.
func (s *session) endBody() { s.progress.reading.Store(nil) }

// rejectBody ends the session after a body that did not arrive completely or was not accepted. No target has got any of it, so
// the answer may promise that the request did not run.
func (s *session) rejectBody(err error) (disconnected bool) {
	switch {
	case errors.Is(err, errTooLarge):
		s.rejectWith(rejectedAnswer(http.StatusRequestEntityTooLarge, basillift.ReasonBadRequest))
	case errors.Is(err, errNoMemory):
		s.rejectWith(notRunAnswer(basillift.ReasonOverload, defaultRetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.server.peers.stalled.Add(1)
		s.rejectWith(rejectedAnswer(http.StatusRequestTimeout, basillift.ReasonDeadline))
	default:
		return true
	}
	return false
}
