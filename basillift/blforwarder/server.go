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

// acceptRetryDelay is the pause after a failed accept, e.g. when the process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// server accepts connections and runs a session for each.
type server struct {
	address  string
	handler  handler
	listener net.Listener

	mutex    sync.Mutex
	sessions map[*session]struct{}
	draining bool
	refusing bool
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

// loop accepts connections until the listener is closed.
func (s *server) loop(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serve(ctx, conn)
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	if d, err := blpool.DescriptorOf(conn); err == nil {
		// On an error the connection is served without this timeout.
		_ = blpool.SetTCPUserTimeout(d, serverTCPUserTimeout)
	}
	n := newSession(conn, s.handler, s)
	s.mutex.Lock()
	s.sessions[n] = struct{}{}
	n.closing, n.refusing = s.draining, s.refusing
	s.mutex.Unlock()
	s.tasks.Go(func() { n.run(ctx) })
}

func (s *server) remove(n *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, n)
}

// drain makes all sessions close after their pending requests. If refuse is set, they take no more requests, and idle
// sessions are closed.
func (s *server) drain(refuse bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining, s.refusing = true, refuse
	for n := range s.sessions {
		n.closeAfterPending(refuse)
	}
}

// busy reports whether any session has pending requests.
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

// closeListener refuses new connections. It may be called more than once.
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
