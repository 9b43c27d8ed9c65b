package etcd

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBody     = 4 << 20
	idleTimeout = time.Minute
	readTimeout = 10 * time.Second
)

// errResponseDropped is returned by handlers that closed the connection instead of sending a response.
var errResponseDropped = errors.New("response dropped by injected fault")

// Serve handles requests on the listener until the listener is closed.
func (s *Store) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout})
	app.Post("/v3/kv/range", handle(s, false, s.handleRange))
	app.Post("/v3/kv/put", handle(s, true, s.handlePut))
	app.Post("/v3/kv/deleterange", handle(s, true, s.handleDelete))
	app.Post("/v3/kv/txn", handle(s, true, s.txn))
	app.Post("/v3/lease/grant", handle(s, true, s.grant))
	app.Post("/v3/lease/keepalive", handle(s, true, s.keepAlive))
	app.Post("/v3/lease/revoke", handle(s, true, s.revoke))
	app.Post("/v3/watch", s.handleWatch)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Store) handleRange(r rangeRequest) (any, error) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	return s.readRange(r), nil
}

func (s *Store) handlePut(r putRequest) (any, error) {
	if err := s.checkPut(r); err != nil {
		return nil, err
	}
	s.put(r)
	return putResponse{header{s.revision}}, nil
}

func (s *Store) handleDelete(r rangeRequest) (any, error) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	s.apply(operation{Delete: &r})
	return putResponse{header{s.revision}}, nil
}

// handle decodes a request, applies the injected faults and sends the result of do, which runs with mu held.
func handle[R any](s *Store, write bool, do func(R) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		time.Sleep(s.recordCall(write))
		var r R
		if err := json.Unmarshal(c.Body(), &r); err != nil {
			return sendError(c, err)
		}
		out, lost, delay, err := execute(s, write, func() (any, error) { return do(r) })
		time.Sleep(delay)
		switch {
		case lost:
			_ = c.RequestCtx().Conn().Close()
			return errResponseDropped
		case err != nil:
			return sendError(c, err)
		}
		return c.JSON(out)
	}
}

// recordCall counts a call and returns the injected delay.
func (s *Store) recordCall(write bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	return s.faults.Delay
}

// execute runs a call unless an injected fault prevents it; lost reports that no response may be sent.
func execute(s *Store, write bool, do func() (any, error)) (out any, lost bool, delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return nil, false, 0, err
	}
	if write && s.faults.LoseWrite > 0 {
		s.faults.LoseWrite--
		return nil, true, 0, nil
	}
	s.expire()
	out, err = do()
	if write && s.faults.LoseAnswer > 0 {
		s.faults.LoseAnswer--
		lost = true
	}
	return out, lost, s.faults.DelayAnswer, err
}

// checkAvailable returns an error when the store is down or its rate limit is reached; it must be called with mu held.
func (s *Store) checkAvailable() error {
	if s.faults.Down {
		s.stats.Refused++
		return errNoLeader
	}
	if now := time.Now(); now.Sub(s.rateWindowStart) >= time.Second {
		s.rateWindowStart, s.callsInWindow = now, 0
	}
	s.callsInWindow++
	if s.faults.Rate > 0 && s.callsInWindow > s.faults.Rate {
		s.stats.Refused++
		return errTooManyRequests
	}
	return nil
}
