package hub

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	// ioTimeout bounds reading and writing a message.
	ioTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for calls in flight when the server is closed.
	shutdownTimeout = 200 * time.Millisecond
)

// ServerConfig holds the listener and the handlers of a Server.
type ServerConfig struct {
	Listener      net.Listener
	MaxConns      int // Maximum number of open connections; 0 means no limit. The one that is idle longest is closed for a new one.
	HandleReport  func(r Report) ReportResponse
	HandleUpdate  func(u PlacementUpdate) PlacementResponse
	RecoverPanics func(task string, f func()) bool // Runs f and recovers a panic in it; returns false after a panic.
	State         func() any                       // Returns the state of the instance for GET /state.
}

// Server handles the calls of other instances.
type Server struct {
	app      *fiber.App
	ln       *tcp.Listener
	messages *messageAccount
	done     chan struct{}
	err      error // Result of serving; valid after done is closed.
}

// NewServer returns a server that accepts calls on the listener.
func NewServer(cfg ServerConfig) *Server {
	// Bodies are read by decode, which counts their memory.
	app := fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, StreamRequestBody: true, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: 2 * maxIdleTime,
	})
	messages := &messageAccount{}
	app.Post(reportPath, func(c fiber.Ctx) error {
		var r Report
		release, err := messages.decode(c, &r)
		defer release()
		if err != nil || r.Instance == "" {
			return refuse(c, err)
		}
		return respond(c, cfg, messages, "report of another instance", func() any { return cfg.HandleReport(r) })
	})
	app.Post(placePath, func(c fiber.Ctx) error {
		var u PlacementUpdate
		release, err := messages.decode(c, &u)
		defer release()
		if err != nil || u.Instance == "" {
			return refuse(c, err)
		}
		return respond(c, cfg, messages, "news of another instance", func() any { return cfg.HandleUpdate(u) })
	})
	app.Get("/state", func(c fiber.Ctx) error { return respond(c, cfg, messages, "state dump", cfg.State) })
	ln := tcp.NewListener(cfg.Listener, tcp.ListenerConfig{MaxConns: cfg.MaxConns, ReplaceIdle: true})
	s := &Server{app: app, ln: ln, messages: messages, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return s
}

// refuse refuses a message that could not be read, and closes its connection, on which the rest of it may follow.
func refuse(c fiber.Ctx, err error) error {
	c.RequestCtx().SetConnectionClose()
	if errors.Is(err, errMessagesFull) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusBadRequest)
}

// respond sends the result of handle as JSON, or status 500 when it panicked.
func respond(c fiber.Ctx, cfg ServerConfig, messages *messageAccount, task string, handle func() any) error {
	var result any
	if !cfg.RecoverPanics(task, func() { result = handle() }) {
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	return messages.send(c, result)
}

// ReplacedConns returns the number of connections that were closed for others because of MaxConns.
func (s *Server) ReplacedConns() int64 { return s.ln.Replaced() }

// Close stops the server and waits up to shutdownTimeout for calls in flight.
func (s *Server) Close() error {
	err := s.app.ShutdownWithTimeout(shutdownTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections of other instances are still open; they are closed when the process exits.
		return nil
	}
	return eris.Wrap(err, "shut down the hub server")
}
