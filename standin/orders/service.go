package orders

import (
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBody     = 8 << 20
	idleTimeout = time.Minute
	readTimeout = 30 * time.Second
)

// errLost ends a connection without an answer.
var errLost = errors.New("no answer by fault")

// Service executes orders; the zero value is ready for use.
type Service struct {
	Delay   time.Duration // Duration of one execution.
	Version string        // In load reports.

	mu       sync.Mutex    // Guards all that follows.
	closed   chan struct{} // Made by the first user; closed by Close.
	ended    bool
	faults   Faults
	running  int
	sequence uint64
	stats    Stats
}

// load is a report as GET /load publishes it, of the same form as an engine's.
type load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// Serve answers on the listener until it is closed.
func (s *Service) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout})
	app.Get("/load", func(c fiber.Ctx) error { return c.JSON(s.load()) })
	app.All("/*", s.call)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends the calls that hang.
func (s *Service) Close() {
	closed := s.done()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		close(closed)
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// done returns the channel that Close closes.
func (s *Service) done() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = make(chan struct{})
	}
	return s.closed
}

func (s *Service) load() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return load{Sequence: s.sequence, Running: s.running, Version: s.Version}
}

// call executes an order unless a fault stands before it.
func (s *Service) call(c fiber.Ctx) error {
	key := strings.Clone(c.Get("Idempotency-Key"))
	switch f := s.arrive(key); f {
	case refuse:
		c.Set("X-Not-Admitted", "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	case failBefore:
		return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "service failed"})
	case crashBefore:
		return hangUp(c)
	default:
		n := s.execute(key)
		switch f {
		case crashAfter:
			return hangUp(c)
		case hang:
			<-s.done()
			return hangUp(c)
		}
		return c.JSON(fiber.Map{"order": key, "path": c.Path(), "executions": n})
	}
}

// arrive notes a call and returns its fault.
func (s *Service) arrive(key string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.arrive(key)
	f := s.faults.next()
	if f == refuse {
		s.stats.Refused++
	}
	return f
}

// execute runs an order and returns how many executions its key has had.
func (s *Service) execute(key string) int {
	s.mu.Lock()
	n := s.stats.execute(key)
	s.running++
	s.mu.Unlock()
	time.Sleep(s.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return n
}

// hangUp closes the connection without an answer.
func hangUp(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().Close()
	return errLost
}
