package admin

import (
	"errors"
	"expvar"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	maxBodyBytes   = 1 << 10
	maxHeaderBytes = 8 << 10
	maxConns       = 64
	idleTimeout    = time.Minute
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
)

// Config configures a Server.
type Config struct {
	Ready   func() bool // Reports whether the instance is ready for requests.
	State   func() any  // Returns the state dump, which must be encodable as JSON.
	Metrics *expvar.Map // Metrics that are served as JSON.
}

// Server is the HTTP server for operators.
type Server struct {
	app *fiber.App
}

// New returns a server; Serve starts it.
func New(cfg Config) *Server {
	app := fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, ReadBufferSize: maxHeaderBytes, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout,
	})
	app.Get("/live", func(c fiber.Ctx) error { return c.SendString("live\n") })
	app.Get("/ready", func(c fiber.Ctx) error {
		if !cfg.Ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/state", func(c fiber.Ctx) error { return c.JSON(cfg.State()) })
	app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.SendString(cfg.Metrics.String())
	})
	return &Server{app: app}
}

// Serve accepts connections on the listener and answers requests until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = tcp.NewListener(ln, tcp.ListenerConfig{MaxConns: maxConns, WriteTimeout: writeTimeout})
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close stops the server when the running requests have ended or the timeout has passed.
func (s *Server) Close(timeout time.Duration) error { return s.app.ShutdownWithTimeout(timeout) }
