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
	// serverTime bounds reading and writing a message.
	serverTime = 5 * time.Second
	// closeTime bounds the wait for the messages in flight when the server ends.
	closeTime = 200 * time.Millisecond
)

// ServerConfig says where reports arrive and who answers them.
type ServerConfig struct {
	Listener net.Listener
	Answer   func(r Report) Digest
	Place    func(n News) Decisions
	Contain  func(task string, f func()) bool // Runs a task so that a panic in it does not end the process; false after one.
	Dump     func() any                       // State of the instance, for GET /state.
}

// Server answers reports.
type Server struct {
	app  *fiber.App
	done chan struct{}
	err  error // Valid after done is closed.
}

// NewServer starts to answer.
func NewServer(cfg ServerConfig) *Server {
	app := fiber.New(fiber.Config{
		BodyLimit: maxBody, ReadTimeout: serverTime, WriteTimeout: serverTime, IdleTimeout: 2 * maxIdle,
	})
	app.Post(reportPath, func(c fiber.Ctx) error {
		var r Report
		if err := json.Unmarshal(c.Body(), &r); err != nil || r.Node == "" {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		return contained(c, cfg, "report of another instance", func() any { return cfg.Answer(r) })
	})
	app.Post(placePath, func(c fiber.Ctx) error {
		var n News
		if err := json.Unmarshal(c.Body(), &n); err != nil || n.Node == "" {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		return contained(c, cfg, "news of another instance", func() any { return cfg.Place(n) })
	})
	app.Get("/state", func(c fiber.Ctx) error { return contained(c, cfg, "state dump", cfg.Dump) })
	s := &Server{app: app, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = app.Listener(cfg.Listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return s
}

// contained answers with what a function returns, or with an error when it panicked.
func contained(c fiber.Ctx, cfg ServerConfig, task string, answer func() any) error {
	var a any
	if !cfg.Contain(task, func() { a = answer() }) {
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	return c.JSON(a)
}

// Close ends the server.
func (s *Server) Close() error {
	err := s.app.ShutdownWithTimeout(closeTime)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections of the others are still open; they end with the process.
		return nil
	}
	return eris.Wrap(err, "close the server of reports")
}
