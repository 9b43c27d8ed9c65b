package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	defaultReadTimeout = 30 * time.Second
	// writeTimeout bounds each write to a caller that does not read its response.
	writeTimeout = 30 * time.Second
)

// Server is the HTTP server for callers.
type Server struct {
	cfg Config
	app *fiber.App
}

// New returns a server; Serve starts it.
func New(cfg Config) *Server {
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	s := &Server{cfg: cfg}
	s.app = fiber.New(fiber.Config{
		BodyLimit: cfg.MaxBodyBytes, ReadBufferSize: cfg.MaxHeaderBytes, IdleTimeout: cfg.IdleTimeout, ReadTimeout: cfg.ReadTimeout,
		Immutable: true, ErrorHandler: handleError,
		// Bodies of service requests are forwarded unchanged.
		DisablePreParseMultipartForm: true, DisableDefaultContentType: true,
	})
	s.app.Get("/v1/models", s.listModels)
	s.app.Post(chatCompletionsPath, func(c fiber.Ctx) error { return s.handleCompletion(c, true) })
	s.app.Post(completionsPath, func(c fiber.Ctx) error { return s.handleCompletion(c, false) })
	s.app.All("/services/:route", s.handleService)
	s.app.All("/services/:route/*", s.handleService)
	return s
}

// Serve accepts connections on the listener and answers requests until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = tcp.NewListener(ln, tcp.ListenerConfig{MaxConns: s.cfg.MaxConns, WriteTimeout: writeTimeout, Refusal: connectionLimitResponse()})
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close stops the server when the running requests have ended or the timeout has passed.
func (s *Server) Close(timeout time.Duration) error { return s.app.ShutdownWithTimeout(timeout) }

// connectionLimitResponse returns the response to a connection beyond Config.Connections.
func connectionLimitResponse() []byte {
	b, _ := json.Marshal(NewProblem("instance-full", fiber.StatusServiceUnavailable, true,
		"too many connections are open at this instance"))
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nRetry-After: 1\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n%s", problemMediaType, len(b), b)
}

// handleError answers an error of the HTTP library with a problem; such a request was never scheduled.
func handleError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return NewProblem(problemName(status), status, status < fiber.StatusInternalServerError, err.Error()).send(c)
}

// problemName returns the name of the problem for an error status of the HTTP library.
func problemName(status int) string {
	switch status {
	case fiber.StatusNotFound:
		return "not-found"
	case fiber.StatusMethodNotAllowed:
		return "method-not-allowed"
	case fiber.StatusRequestTimeout:
		return "request-timeout"
	case fiber.StatusRequestEntityTooLarge:
		return "body-too-large"
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return "header-too-large"
	case fiber.StatusInternalServerError:
		return "internal"
	}
	return "bad-request"
}
