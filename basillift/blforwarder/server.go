package blforwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blpool"
)

// acceptRetryDelay is the pause after a failed accept, e.g. when the process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

const (
	// backlogTimeout is how long a server that refuses connections waits for a further one in the listener's queue.
	backlogTimeout = 100 * time.Millisecond
	// maxBacklogTime bounds the time for all of them.
	maxBacklogTime = 500 * time.Millisecond
)

// server accepts connections and runs a session for each.
type server struct {
	address  string
	handler  handler
	listener net.Listener
	class    blbudget.Class
	peers    *peerBudget
	buffers  bufferPool

	mutex          sync.Mutex
	sessions       map[*session]struct{}
	draining       bool
	refusing       bool
	stopped        bool
	listenerClosed bool
	// closeBy is set once the server refuses connections: those in the listener's queue are accepted until then, since their
	// callers may have sent requests.
	closeBy time.Time
	tasks   sync.WaitGroup
}

// newServer returns a server for connections of a class. It must be added to the servers of the budget.
func newServer(address string, h handler, class blbudget.Class, peers *peerBudget) *server {
	return &server{address: address, handler: h, class: class, peers: peers, sessions: make(map[*session]struct{})}
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
	finalAccept := false
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if finalAccept && !isReadable(s.listener) || !s.extendBacklogDeadline(time.Now()) {
				s.closeListener()
				return
			}
			finalAccept = true
			continue
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		finalAccept = false
		s.serve(ctx, conn)
	}
}

// refuseConnections closes the listener once its queue has no more connections.
func (s *server) refuseConnections() {
	now := time.Now()
	s.mutex.Lock()
	s.closeBy = now.Add(maxBacklogTime)
	s.mutex.Unlock()
	s.extendBacklogDeadline(now)
}

// extendBacklogDeadline gives a server that refuses connections the time to accept one more; false if that time is over.
func (s *server) extendBacklogDeadline(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, ok := s.listener.(*net.TCPListener)
	if !ok || !now.Before(s.closeBy) {
		return false
	}
	return l.SetDeadline(now.Add(backlogTimeout)) == nil
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	if !s.peers.admit(s.class) {
		// A reset tells the peer that nothing was read, and leaves no state in the kernel.
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
		return
	}
	if d, err := blpool.DescriptorOf(conn); err == nil {
		// On an error the connection is served without this timeout.
		_ = blpool.SetTCPUserTimeout(d, serverTCPUserTimeout)
	}
	n := newSession(conn, s.handler, s, time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		_ = conn.Close()
		s.peers.connections.close(s.class)
		return
	}
	s.sessions[n] = struct{}{}
	n.closing, n.refusing = s.draining, s.refusing
	s.tasks.Go(func() {
		n.run(ctx)
		s.peers.connections.close(s.class)
	})
}

// appendSessions appends the open sessions to a list.
func (s *server) appendSessions(sessions []*session) []*session {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n := range s.sessions {
		sessions = append(sessions, n)
	}
	return sessions
}

func (s *server) remove(n *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, n)
}

// drain makes all sessions close after their pending requests. If refuse is set, idle sessions are closed after the requests
// that they have received and not read, and the others take no more requests.
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

// hasSessions reports whether any session is open, or a connection may still be accepted.
func (s *server) hasSessions() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.sessions) > 0 || !s.listenerClosed
}

// closeListener refuses new connections. It may be called more than once.
func (s *server) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listenerClosed = true
}

func (s *server) stop() {
	s.closeListener()
	s.mutex.Lock()
	s.stopped = true
	for n := range s.sessions {
		_ = n.conn.Close()
	}
	s.mutex.Unlock()
	s.tasks.Wait()
}
