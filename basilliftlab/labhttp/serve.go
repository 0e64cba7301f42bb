// Package labhttp holds what the HTTP servers of the lab share: serving until a
// context ends, strict JSON bodies and JSON answers.
//
// # Usage
//
//	s := labhttp.NewServer(listener, handler)
//	err := s.Serve(ctx, 5*time.Second) // returns after ctx ends and running requests have ended
//
// The lab uses net/http rather than fasthttp, because only net/http tells a
// handler that its caller hung up, and stand-ins must notice cancellation.
package labhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves one handler on one listener.
type Server struct {
	listener net.Listener
	server   *http.Server
	failed   chan error
}

// NewServer returns a server that owns the listener.
func NewServer(l net.Listener, h http.Handler) *Server {
	return &Server{
		listener: l,
		server:   &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		failed:   make(chan error, 1),
	}
}

// WithBase makes the contexts of all requests end with ctx, for servers whose
// requests wait for long and need not be finished at shutdown.
func (s *Server) WithBase(ctx context.Context) *Server {
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	return s
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve returns when ctx has ended and running requests have ended, or after grace.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	go s.run()
	select {
	case err := <-s.failed:
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := s.server.Shutdown(stop); err != nil {
		return fmt.Errorf("stop %s: %w", s.Address(), err)
	}
	return nil
}

func (s *Server) run() {
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.failed <- err
	}
}
