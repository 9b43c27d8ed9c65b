package http1

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Bounds that hold while no configuration names others.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 60 * time.Second
	// writeTimeout ends a connection whose caller does not read.
	writeTimeout = 10 * time.Second
	// acceptRetry is the wait after a failed accept, for example when no descriptor is free.
	acceptRetry = 20 * time.Millisecond
)

// ServerConfig says how requests of callers are served.
type ServerConfig struct {
	Listener    net.Listener
	Connections int                 // Open at a time; 0 for no bound.
	Limits      func() fleet.Limits // In force now.
	Handle      func(e *Exchange)   // Answers a request; called on the connection's goroutine.
	Log         zerolog.Logger
}

// Server serves callers.
type Server struct {
	cfg      ServerConfig
	listener *tcp.Listener
	mu       sync.Mutex
	conns    map[*serverConn]struct{} // Guarded by mu.
	draining bool                     // Guarded by mu.
	closed   bool                     // Guarded by mu.
	// closeIdle says that idle connections are closed once; guarded by mu.
	closeIdle bool
	empty     chan struct{} // Closed when the last connection has ended after Close.
}

// NewServer starts to accept connections.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{
		cfg: cfg, conns: map[*serverConn]struct{}{}, empty: make(chan struct{}),
		listener: tcp.Listen(cfg.Listener, tcp.ListenConfig{Connections: cfg.Connections, Write: writeTimeout}),
	}
	go s.accept()
	return s
}

// Drain asks callers to close their connections: each further answer says so.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes connections that wait for a request; new ones are still accepted.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closeIdle = true, true
	for c := range s.conns {
		c.wake()
	}
}

// Close closes idle connections, and the others after their answer; it returns at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closed = true, true
	_ = s.listener.Close()
	for c := range s.conns {
		c.wake()
	}
	if len(s.conns) == 0 {
		s.finish()
	}
}

// Done is closed when all connections have ended after Close.
func (s *Server) Done() <-chan struct{} { return s.empty }

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn().Err(err).Msg("connection could not be accepted")
			time.Sleep(acceptRetry)
			continue
		}
		c := newServerConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closed && len(s.conns) == 0 {
		s.finish()
	}
}

// finish closes empty once; mu is held.
func (s *Server) finish() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// closesIdle reports whether a connection that waits for a request is closed. One that was accepted since the idle ones
// were closed may wait for its first request.
func (s *Server) closesIdle(used bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.closeIdle && used
}
