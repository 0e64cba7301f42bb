package blforwarder

import (
	"errors"
	"os"
	"syscall"
	"time"

	"basillift.dev/basillift/blpool"
)

// disconnectCheckInterval is how often a session checks whether the peer has disconnected while it does not read. Callers expect
// that their requests end within half a second, at the end of a chain of two daemons.
const disconnectCheckInterval = 100 * time.Millisecond

// cancelOnDisconnect cancels the pending requests of a session when the peer disconnects after its last request.
func (s *session) cancelOnDisconnect() {
	_ = s.conn.SetReadDeadline(time.Time{})
	err := s.awaitReadable()
	switch {
	case err == nil:
		s.cancelIfDisconnected()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		s.cancel()
	}
}

// enqueueAnswer lets the answer to a request be written after those to the earlier ones. While too many are pending, nothing reads
// the connection, so it watches for a disconnect.
func (s *session) enqueueAnswer(p *pipelinedRequest) {
	s.startWriter()
	select {
	case s.pipeline <- p:
		return
	default:
	}
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case s.pipeline <- p:
			return
		case <-ticker.C:
			s.cancelIfDisconnected()
		}
	}
}

// awaitStreamEnd waits until nothing more of a large body is read. The next request follows it, so a disconnect is not noticed by
// reading. A body that makes no progress must not hold a slot, a reservation or a turn on a slow link that others wait for.
func (s *session) awaitStreamEnd(stream *requestStream) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stream.done:
			<-stream.ended
			return
		case now := <-ticker.C:
			s.cancelIfDisconnected()
			if s.progress.requestStalled(now) >= maxSlotStall && s.handler.slotsWanted(now) {
				s.endUnfinished()
			}
		}
	}
}

// cancelIfDisconnected cancels the requests of the session if the peer has closed the connection. Unlike a read it notices that
// behind bytes that are not read yet.
func (s *session) cancelIfDisconnected() {
	c, ok := s.conn.(syscall.Conn)
	if !ok {
		return
	}
	closed, err := blpool.PeerClosed(c)
	if err != nil || closed {
		s.cancel()
	}
}
