package peer

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	maxBodyBytes   = 2 << 20
	maxHeaderBytes = 8 << 10
	maxConns       = 4096
	idleTimeout    = 60 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 10 * time.Second
	// maxHold bounds the time for which a peer may ask to be held.
	maxHold = 10 * time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Keys    [][]byte         // Current and previous key; empty keys are ignored.
	Handler Handler          // Processes the messages.
	Now     func() time.Time // Returns the current time.
}

// Server serves the protocol to other instances.
type Server struct {
	cfg     ServerConfig
	app     *fiber.App
	replays replayCache // Signatures of recent calls.
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.app = fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, ReadBufferSize: maxHeaderBytes, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, DisableDefaultDate: true, DisableDefaultContentType: true,
	})
	s.app.Use(s.authenticate)
	s.app.Post("/peer/v1/ask", handleJSON(func(r AskRequest) AskAnswer {
		r.HoldMS = min(max(r.HoldMS, 0), maxHold.Milliseconds())
		return cfg.Handler.Ask(r)
	}))
	s.app.Post("/peer/v1/done", handleJSON(cfg.Handler.Outcomes))
	s.app.Post("/peer/v1/heartbeat", handleJSON(cfg.Handler.Heartbeat))
	s.app.Post("/peer/v1/consent", handleJSON(cfg.Handler.Consent))
	s.app.Get("/peer/v1/config/:digest", handleBytes("digest", cfg.Handler.Document))
	s.app.Get("/peer/v1/answer/:id", handleBytes("id", cfg.Handler.Answer))
	return s
}

// Serve answers calls on the listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = tcp.NewListener(ln, tcp.ListenerConfig{MaxConns: maxConns, WriteTimeout: writeTimeout})
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends the server after running calls have ended or the timeout has expired.
func (s *Server) Close(timeout time.Duration) error { return s.app.ShutdownWithTimeout(timeout) }

// authenticate answers 401 to unauthenticated and replayed calls, before their path or content is examined.
func (s *Server) authenticate(c fiber.Ctx) error {
	now := s.cfg.Now()
	to := c.RequestCtx().LocalAddr().String()
	signature, ok := verify(s.cfg.Keys, now, c.Get(authHeader), to, c.Method(), c.OriginalURL(), c.BodyRaw())
	if !ok || !s.replays.add(now, signature) {
		return c.Status(fiber.StatusUnauthorized).SendString("the call is not signed with the key of these instances for this address, or was seen before")
	}
	return c.Next()
}

// handleJSON returns a handler that checks the version of a message, decodes it and answers with the result of do.
// The version is decoded first, because members of another version may have other types.
func handleJSON[R, A any](do func(R) A) fiber.Handler {
	return func(c fiber.Ctx) error {
		var v protoHeader
		if err := json.Unmarshal(c.BodyRaw(), &v); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString("invalid JSON: " + err.Error())
		}
		if !v.Proto.compatible() {
			return c.Status(fiber.StatusUpgradeRequired).JSON(Ack{Proto: CurrentProto()})
		}
		var r R
		if err := json.Unmarshal(c.BodyRaw(), &r); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString("invalid message: " + err.Error())
		}
		return c.JSON(do(r))
	}
}

// handleBytes returns a handler that answers with the bytes that get returns for the path parameter, or with 404.
func handleBytes(param string, get func(string) ([]byte, bool)) fiber.Handler {
	return func(c fiber.Ctx) error {
		b, ok := get(c.Params(param))
		if !ok {
			return c.SendStatus(fiber.StatusNotFound)
		}
		return c.Send(b)
	}
}
