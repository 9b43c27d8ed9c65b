package engine

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBody     = 64 << 20
	idleTimeout = time.Minute
	readTimeout = 30 * time.Second
)

// errConnectionClosed is returned by handlers that closed the connection without an answer.
var errConnectionClosed = errors.New("connection closed by injected fault")

// Serve handles requests on the listener until the listener is closed.
func (e *Engine) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, UnescapePath: true})
	app.Use(e.closeWhenDown)
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.handleCompletion(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.handleCompletion(c, false) })
	app.Get("/load", func(c fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.reportLoad())
	})
	app.Get("/cache-events", e.handleCacheEvents)
	app.Post("/cancel/:id", e.handleCancel)
	app.Get("/resume/:id", e.handleResume)
	app.Post("/orders", e.handleOrder)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeWhenDown closes the connection while the fault Down is set.
func (e *Engine) closeWhenDown(c fiber.Ctx) error {
	e.mu.Lock()
	down := e.faults.Down
	e.mu.Unlock()
	if down {
		return closeConnection(c)
	}
	return c.Next()
}

// closeConnection closes the connection without an answer.
func closeConnection(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().Close()
	return errConnectionClosed
}

func (e *Engine) handleCompletion(c fiber.Ctx, chat bool) error {
	r, err := parse(c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": err.Error()})
	}
	refuse, loseAnswer := e.takeRequestFaults()
	if refuse {
		c.Set("X-Not-Admitted", "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	s := newStream(strings.Clone(c.Get("X-Request-Id")), chat, r)
	if e.admit(s) {
		return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "engine failed"})
	}
	if loseAnswer {
		return closeConnection(c)
	}
	if !r.Stream {
		return e.sendCompletion(c, s)
	}
	return e.sendStream(c, s, 0)
}

// takeRequestFaults reports whether the next request is refused or its answer is lost, and decrements LoseAnswer.
func (e *Engine) takeRequestFaults() (refuse, loseAnswer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return true, false
	}
	loseAnswer = e.faults.LoseAnswer > 0
	if loseAnswer {
		e.faults.LoseAnswer--
	}
	return false, loseAnswer
}

// findStream returns the retained stream with the ID in the path, or nil.
func (e *Engine) findStream(c fiber.Ctx) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[c.Params("id")]
}

// handleResume streams the tokens after the given number; a cancelled or failed stream cannot be resumed.
func (e *Engine) handleResume(c fiber.Ctx) error {
	s := e.findStream(c)
	if s == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	n, err := strconv.Atoi(c.Query("after", "0"))
	if err != nil || n < 0 {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "after must be a number of tokens"})
	}
	if _, state, _ := s.read(); state == cancelled || state == failed {
		return c.SendStatus(fiber.StatusGone)
	}
	return e.sendStream(c, s, n)
}

func (e *Engine) handleCancel(c fiber.Ctx) error {
	s := e.findStream(c)
	if s == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.stop(cancelled)
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) handleCacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "after must be the number of an event"})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.events.after(after, time.Now().Add(-e.cfg.EventLag)))
}
