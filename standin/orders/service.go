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

// errConnectionClosed is returned by handlers that closed the connection without an answer.
var errConnectionClosed = errors.New("connection closed by injected fault")

// Service executes orders; the zero value is ready for use.
type Service struct {
	Delay   time.Duration // Duration of one execution.
	Version string        // Version shown in load reports.

	mu       sync.Mutex    // Guards the fields below.
	closed   chan struct{} // Created on first use; closed by Close.
	isClosed bool
	faults   Faults
	running  int
	sequence uint64
	stats    Stats
}

// load is the response of GET /load; it has the same format as an engine's load report.
type load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// Serve handles requests on the listener until the listener is closed.
func (s *Service) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout})
	app.Get("/load", func(c fiber.Ctx) error { return c.JSON(s.load()) })
	app.All("/*", s.handleOrder)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends the calls that hang by an injected fault.
func (s *Service) Close() {
	closed := s.closedChannel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed {
		s.isClosed = true
		close(closed)
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// closedChannel returns the channel that is closed by Close.
func (s *Service) closedChannel() chan struct{} {
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

// handleOrder executes an order unless an injected fault prevents the execution.
func (s *Service) handleOrder(c fiber.Ctx) error {
	key := strings.Clone(c.Get("Idempotency-Key"))
	switch f := s.recordCall(key); f {
	case refuse:
		c.Set("X-Not-Admitted", "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	case failBefore:
		return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "service failed"})
	case crashBefore:
		return closeConnection(c)
	default:
		n := s.execute(key)
		switch f {
		case crashAfter:
			return closeConnection(c)
		case hang:
			<-s.closedChannel()
			return closeConnection(c)
		}
		return c.JSON(fiber.Map{"order": key, "path": c.Path(), "executions": n})
	}
}

// recordCall counts a call and returns the fault to inject into it.
func (s *Service) recordCall(key string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.recordCall(key)
	f := s.faults.takeNext()
	if f == refuse {
		s.stats.Refused++
	}
	return f
}

// execute runs an order and returns the number of executions of its key.
func (s *Service) execute(key string) int {
	s.mu.Lock()
	n := s.stats.recordExecution(key)
	s.running++
	s.mu.Unlock()
	time.Sleep(s.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return n
}

// closeConnection closes the connection without an answer.
func closeConnection(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().Close()
	return errConnectionClosed
}
