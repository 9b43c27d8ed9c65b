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

// errLost ends the connection instead of sending an answer.
var errLost = errors.New("answer lost by fault")

// Serve answers on the listener until it is closed.
func (s *Store) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout})
	app.Post("/v3/kv/range", handle(s, false, s.rangeCall))
	app.Post("/v3/kv/put", handle(s, true, s.putCall))
	app.Post("/v3/kv/deleterange", handle(s, true, s.deleteCall))
	app.Post("/v3/kv/txn", handle(s, true, s.txn))
	app.Post("/v3/lease/grant", handle(s, true, s.grant))
	app.Post("/v3/lease/keepalive", handle(s, true, s.keepAlive))
	app.Post("/v3/lease/revoke", handle(s, true, s.revoke))
	app.Post("/v3/watch", s.watch)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Store) rangeCall(r rangeRequest) (any, error) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	return s.read(r), nil
}

func (s *Store) putCall(r putRequest) (any, error) {
	if err := s.check(r); err != nil {
		return nil, err
	}
	s.put(r)
	return putResponse{header{s.revision}}, nil
}

func (s *Store) deleteCall(r rangeRequest) (any, error) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	s.apply(operation{Delete: &r})
	return putResponse{header{s.revision}}, nil
}

// handle decodes a request, applies the faults and answers with the result of do, which runs with mu held.
func handle[R any](s *Store, write bool, do func(R) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		time.Sleep(s.arrive(write))
		var r R
		if err := json.Unmarshal(c.Body(), &r); err != nil {
			return refuse(c, err)
		}
		out, lost, after, err := perform(s, write, func() (any, error) { return do(r) })
		time.Sleep(after)
		switch {
		case lost:
			_ = c.RequestCtx().Conn().Close()
			return errLost
		case err != nil:
			return refuse(c, err)
		}
		return c.JSON(out)
	}
}

// arrive counts a call and returns its delay.
func (s *Store) arrive(write bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	return s.faults.Delay
}

// perform lets a call take effect, unless a fault stands before it; lost says that no answer may go out.
func perform(s *Store, write bool, do func() (any, error)) (out any, lost bool, after time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(); err != nil {
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

// admit says why the store refuses a call; it must be called with mu held.
func (s *Store) admit() error {
	if s.faults.Down {
		s.stats.Refused++
		return errNoLeader
	}
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	if s.faults.Rate > 0 && s.inSecond > s.faults.Rate {
		s.stats.Refused++
		return errRate
	}
	return nil
}
