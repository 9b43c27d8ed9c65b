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

// errLost ends a connection without an answer.
var errLost = errors.New("no answer by fault")

// Serve answers on the listener until it is closed.
func (e *Engine) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, UnescapePath: true})
	app.Use(e.down)
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.complete(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.complete(c, false) })
	app.Get("/load", func(c fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.show())
	})
	app.Get("/cache-events", e.cacheEvents)
	app.Post("/cancel/:id", e.cancel)
	app.Get("/resume/:id", e.resume)
	app.Post("/orders", e.give)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// down closes the connection while that fault is on.
func (e *Engine) down(c fiber.Ctx) error {
	e.mu.Lock()
	down := e.faults.Down
	e.mu.Unlock()
	if down {
		return hangUp(c)
	}
	return c.Next()
}

// hangUp closes the connection without an answer.
func hangUp(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().Close()
	return errLost
}

func (e *Engine) complete(c fiber.Ctx, chat bool) error {
	r, err := parse(c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": err.Error()})
	}
	refuse, lose := e.faulty()
	if refuse {
		c.Set("X-Not-Admitted", "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	s := newStream(strings.Clone(c.Get("X-Request-Id")), chat, r)
	if e.admit(s) {
		return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "engine failed"})
	}
	if lose {
		return hangUp(c)
	}
	if !r.Stream {
		return e.whole(c, s)
	}
	return e.sse(c, s, 0)
}

// faulty returns what the faults do with the next request.
func (e *Engine) faulty() (refuse, lose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return true, false
	}
	lose = e.faults.LoseAnswer > 0
	if lose {
		e.faults.LoseAnswer--
	}
	return false, lose
}

// find returns a stream that the engine remembers, nil for any other.
func (e *Engine) find(c fiber.Ctx) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[c.Params("id")]
}

// resume streams the tokens after the given number; a stream that did not run to its end has no rest.
func (e *Engine) resume(c fiber.Ctx) error {
	s := e.find(c)
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
	return e.sse(c, s, n)
}

func (e *Engine) cancel(c fiber.Ctx) error {
	s := e.find(c)
	if s == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.stop(cancelled)
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "after must be the number of an event"})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.events.after(after, time.Now().Add(-e.cfg.EventLag)))
}
