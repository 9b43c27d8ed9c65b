package peer

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBody     = 2 << 20
	maxHeader   = 8 << 10
	idleTimeout = 60 * time.Second
	readTimeout = 10 * time.Second
)

// ServerConfig says how a server authenticates its callers.
type ServerConfig struct {
	Keys    [][]byte // Current and previous key.
	Handler Handler
	Now     func() time.Time
}

// Server serves the protocol to other instances.
type Server struct {
	cfg ServerConfig
	app *fiber.App
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.app = fiber.New(fiber.Config{
		BodyLimit: maxBody, ReadBufferSize: maxHeader, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		DisableDefaultDate: true, DisableDefaultContentType: true,
	})
	s.app.Use(s.authenticate)
	s.app.Post("/peer/v1/ask", handle(cfg.Handler.Ask, func(r AskRequest) Proto { return r.Proto }))
	s.app.Post("/peer/v1/done", handle(cfg.Handler.Done, func(r DoneRequest) Proto { return r.Proto }))
	s.app.Post("/peer/v1/heartbeat", handle(cfg.Handler.Heartbeat, func(r Heartbeat) Proto { return r.Proto }))
	s.app.Post("/peer/v1/consent", handle(cfg.Handler.Consent, func(r ConsentRequest) Proto { return r.Proto }))
	s.app.Get("/peer/v1/config/:digest", raw("digest", cfg.Handler.Document))
	s.app.Get("/peer/v1/answer/:id", raw("id", cfg.Handler.Answer))
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

// Close ends the server after running calls have ended or the timeout has passed.
func (s *Server) Close(timeout time.Duration) error { return s.app.ShutdownWithTimeout(timeout) }

func (s *Server) authenticate(c fiber.Ctx) error {
	if !verify(s.cfg.Keys, s.cfg.Now(), c.Get(authHeader), c.Path(), c.Body()) {
		return c.SendStatus(fiber.StatusUnauthorized)
	}
	return c.Next()
}

// handle decodes a message, checks its version and answers with the result of do.
func handle[R, A any](do func(R) A, proto func(R) Proto) fiber.Handler {
	return func(c fiber.Ctx) error {
		var r R
		if err := json.Unmarshal(c.Body(), &r); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString("invalid JSON: " + err.Error())
		}
		if !proto(r).Readable() {
			return c.Status(fiber.StatusUpgradeRequired).JSON(Ack{Proto: Current()})
		}
		return c.JSON(do(r))
	}
}

// raw answers with the bytes that get returns for the path parameter.
func raw(param string, get func(string) ([]byte, bool)) fiber.Handler {
	return func(c fiber.Ctx) error {
		b, ok := get(c.Params(param))
		if !ok {
			return c.SendStatus(fiber.StatusNotFound)
		}
		return c.Send(b)
	}
}
