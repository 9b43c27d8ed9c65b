package caller

import (
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

// readTimeout bounds the time in which a request must arrive, so that slow senders do not hold connections.
const readTimeout = 30 * time.Second

// Server is the HTTP server for callers.
type Server struct {
	cfg Config
	app *fiber.App
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.app = fiber.New(fiber.Config{
		BodyLimit: cfg.BodyBytes, ReadBufferSize: cfg.HeaderBytes, Concurrency: cfg.Connections,
		IdleTimeout: cfg.Idle, ReadTimeout: readTimeout, Immutable: true, ErrorHandler: failed,
	})
	s.app.Get("/v1/models", s.models)
	s.app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return s.complete(c, true) })
	s.app.Post("/v1/completions", func(c fiber.Ctx) error { return s.complete(c, false) })
	s.app.All("/services/:route", s.service)
	s.app.All("/services/:route/*", s.service)
	return s
}

// Serve answers on the listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends the server after running requests have ended or the timeout has passed.
func (s *Server) Close(timeout time.Duration) error { return s.app.ShutdownWithTimeout(timeout) }

// failed turns an error of the HTTP library into a problem; such a request was never scheduled.
func failed(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return NewProblem("bad-request", status, status < 500, err.Error()).send(c)
}
