package http1

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Default limits, which apply where the configuration sets none, and fixed timeouts.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// writeTimeout closes a connection whose caller does not read the response.
	writeTimeout = 10 * time.Second
	// maxUnsentBytes limits the responses to callers that read slowly. Beyond it each of them must be sent within writeTimeout.
	maxUnsentBytes = 64 << 20
	// acceptRetryDelay is the wait after a failed accept, for example if no file descriptor is free.
	acceptRetryDelay = 20 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	MaxConns int                 // Maximum number of open connections; 0 means no limit.
	Limits   func() fleet.Limits // Returns the limits that apply now.
	Handle   func(e *Exchange)   // Handles a request; called on the goroutine of the connection.
	Log      zerolog.Logger
	// RequestMemory limits the bytes that requests which are being read or handled occupy together; 0 means a default.
	RequestMemory int64
}

// Server accepts connections of callers and passes their requests to ServerConfig.Handle. Callers are the HTTP clients of
// the instance.
//
// A stop takes up to three steps: after Drain, each response asks the caller to close its connection; CloseIdle also closes
// idle connections; Close also stops accepting connections.
type Server struct {
	cfg      ServerConfig
	listener *tcp.Listener
	mu       sync.Mutex
	conns    map[*serverConn]struct{} // Open connections; guarded by mu.
	draining bool                     // Every further response closes its connection; guarded by mu.
	closed   bool                     // Close was called; guarded by mu.
	// idleClosed is true after CloseIdle was called. A connection that then becomes idle is closed. Guarded by mu.
	idleClosed bool
	done       chan struct{} // Closed after Close, when no connection is left.

	memory          *memoryAccount
	started         time.Time
	refusedRequests atomic.Int64 // Requests refused because the memory for requests was full.
	// abandonedAnswers is the number of answers that were given up because their callers read slowly.
	abandonedAnswers atomic.Int64
	replacedConns    atomic.Int64 // Idle connections closed to make room for others.
	nextReplacement  time.Time    // Time before which no idle connection is searched to make room; guarded by mu.
}

// NewServer returns a server that is accepting connections.
func NewServer(cfg ServerConfig) *Server {
	if cfg.RequestMemory <= 0 {
		cfg.RequestMemory = defaultRequestMemory
	}
	s := &Server{
		cfg: cfg, conns: map[*serverConn]struct{}{}, done: make(chan struct{}), started: time.Now(),
	}
	s.listener = tcp.NewListener(cfg.Listener, tcp.ListenerConfig{
		MaxConns: cfg.MaxConns, WriteTimeout: writeTimeout, MaxUnsentBytes: maxUnsentBytes, MakeRoom: s.makeRoom,
	})
	s.memory = newMemoryAccount(cfg.RequestMemory, requestMemoryWait, s.evictRequests)
	go s.accept()
	return s
}

// Drain asks callers to close their connections by sending Connection: close with each further response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes idle connections and starts draining the others. New connections are still accepted.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.idleClosed = true, true
	for c := range s.conns {
		c.interruptIdle()
	}
}

// Close stops accepting connections. It closes idle connections at once and the others after their response, without
// waiting for them.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closed = true, true
	_ = s.listener.Close()
	for c := range s.conns {
		c.interruptIdle()
	}
	if len(s.conns) == 0 {
		s.closeDone()
	}
}

// Done returns a channel that is closed when all connections have ended after Close.
func (s *Server) Done() <-chan struct{} { return s.done }

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newServerConn(s, raw)
		if !s.addConn(c) {
			// The caller can tell that its request was not read.
			_ = raw.Close()
			return
		}
		go c.serve()
	}
}

// addConn adds an open connection; it returns false after Close.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = struct{}{}
	}
	return !s.closed
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closed && len(s.conns) == 0 {
		s.closeDone()
	}
}

// closeDone closes done if it is not closed yet. mu must be held.
func (s *Server) closeDone() {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// mustCloseIdle reports whether a connection that waits for a request must be closed. A connection accepted after
// CloseIdle may still wait for its first request.
func (s *Server) mustCloseIdle(closeWhenIdle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.idleClosed && closeWhenIdle
}
