package orders

import (
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Service executes orders; the zero value is ready for use.
type Service struct {
	Delay time.Duration // Duration of one execution.

	mu   sync.Mutex
	runs map[string]int // Guarded by mu.
}

// Serve answers on the listener until it is closed.
func (s *Service) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: 1 << 20})
	app.Get("/load", func(c fiber.Ctx) error { return c.JSON(fiber.Map{"running": 0}) })
	app.All("/*", s.execute)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Runs returns the executions by key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

func (s *Service) execute(c fiber.Ctx) error {
	key := strings.Clone(c.Get("Idempotency-Key"))
	s.mu.Lock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.Delay)
	return c.JSON(fiber.Map{"order": key, "path": c.Path(), "executions": n})
}
