package hub

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
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
	HandleReport  func(r Report) ReportResponse
	HandleUpdate  func(u PlacementUpdate) PlacementResponse
	RecoverPanics func(task string, f func()) bool // Runs f and recovers a panic in it; returns false after a panic.
	State         func() any                       // Returns the state of the instance for GET /state.
}

// Server handles the calls of other instances.
type Server struct {
	app  *fiber.App
	done chan struct{}
	err  error // Result of serving; valid after done is closed.
}

// NewServer returns a server that accepts calls on the listener.
func NewServer(cfg ServerConfig) *Server {
	app := fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: 2 * maxIdleTime,
	})
	app.Post(reportPath, func(c fiber.Ctx) error {
		var r Report
		if err := json.Unmarshal(c.Body(), &r); err != nil || r.Instance == "" {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		return respond(c, cfg, "report of another instance", func() any { return cfg.HandleReport(r) })
	})
	app.Post(placePath, func(c fiber.Ctx) error {
		var u PlacementUpdate
		if err := json.Unmarshal(c.Body(), &u); err != nil || u.Instance == "" {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		return respond(c, cfg, "news of another instance", func() any { return cfg.HandleUpdate(u) })
	})
	app.Get("/state", func(c fiber.Ctx) error { return respond(c, cfg, "state dump", cfg.State) })
	s := &Server{app: app, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = app.Listener(cfg.Listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return s
}

// respond sends the result of handle as JSON, or status 500 when it panicked.
func respond(c fiber.Ctx, cfg ServerConfig, task string, handle func() any) error {
	var result any
	if !cfg.RecoverPanics(task, func() { result = handle() }) {
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	return c.JSON(result)
}

// Close stops the server and waits up to shutdownTimeout for calls in flight.
func (s *Server) Close() error {
	err := s.app.ShutdownWithTimeout(shutdownTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections of other instances are still open; they are closed when the process exits.
		return nil
	}
	return eris.Wrap(err, "shut down the hub server")
}
