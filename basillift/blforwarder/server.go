package blforwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"basillift.dev/basillift/blpool"
)

// acceptPause is how long accepting rests after an error such as a lack of descriptors.
const acceptPause = 20 * time.Millisecond

// server accepts connections and runs a session for each.
type server struct {
	address  string
	handler  handler
	listener net.Listener

	mutex    sync.Mutex
	sessions map[*session]struct{}
	draining bool
	tasks    sync.WaitGroup
}

func newServer(address string, h handler) *server {
	return &server{address: address, handler: h, sessions: make(map[*session]struct{})}
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener = l
	return nil
}

// loop accepts until the listener closes.
func (s *server) loop(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.serve(ctx, conn)
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	if d, err := blpool.DescriptorOf(conn); err == nil {
		// A connection that cannot be watched is still served.
		_ = blpool.SetSilenceLimit(d, callerSilence)
	}
	n := newSession(conn, s.handler, s)
	s.mutex.Lock()
	s.sessions[n] = struct{}{}
	n.closing = s.draining
	s.mutex.Unlock()
	s.tasks.Go(func() { n.run(ctx) })
}

func (s *server) forget(n *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, n)
}

// drain makes all sessions end behind the requests that they have. Idle ones are closed only if idleToo.
func (s *server) drain(idleToo bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	for n := range s.sessions {
		n.finish(idleToo)
	}
}

// busy reports whether a session has requests that are not answered.
func (s *server) busy() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n := range s.sessions {
		if n.busy() {
			return true
		}
	}
	return false
}

// closeListener refuses new connections; closing it again does nothing.
func (s *server) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

func (s *server) stop() {
	s.closeListener()
	s.mutex.Lock()
	for n := range s.sessions {
		_ = n.conn.Close()
	}
	s.mutex.Unlock()
	s.tasks.Wait()
}
