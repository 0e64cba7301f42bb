// Package labhttp holds code shared by the lab's HTTP servers: serving until a
// context ends, strict decoding of JSON requests, and JSON responses.
//
// # Usage
//
//	s := labhttp.NewServer(listener, handler)
//	err := s.Serve(ctx, 5*time.Second) // returns when ctx has ended and running requests have finished
//
// The lab uses net/http rather than fasthttp, because only net/http tells a
// handler that the client disconnected, and simulated servers must detect
// cancellation.
package labhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves one HTTP handler on one listener.
type Server struct {
	listener net.Listener
	server   *http.Server
	serveErr chan error
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(l net.Listener, h http.Handler) *Server {
	return &Server{
		listener: l,
		server:   &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		serveErr: make(chan error, 1),
	}
}

// WithBase makes ctx the parent of all request contexts, for servers with
// long-running requests that need not finish at shutdown.
func (s *Server) WithBase(ctx context.Context) *Server {
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	return s
}

// Address is the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until ctx ends, then waits for running requests, but not
// longer than grace.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	go s.run()
	select {
	case err := <-s.serveErr:
		return fmt.Errorf("serve on %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := s.server.Shutdown(shutdownCtx); err != nil {
		return fmt.Errorf("shut down server on %s: %w", s.Address(), err)
	}
	return nil
}

func (s *Server) run() {
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.serveErr <- err
	}
}
