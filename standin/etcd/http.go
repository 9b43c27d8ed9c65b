package etcd

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

// errLost ends the connection instead of sending an answer.
var errLost = errors.New("answer lost by fault")

// Serve answers on the listener until it is closed.
func (s *Store) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: 4 << 20})
	app.Post("/v3/kv/range", handle(s, false, func(r rangeRequest) any { return s.read(r) }))
	app.Post("/v3/kv/put", handle(s, true, func(r putRequest) any {
		s.put(r)
		return putResponse{header{s.revision}}
	}))
	app.Post("/v3/kv/deleterange", handle(s, true, func(r rangeRequest) any {
		s.apply(operation{Delete: &r})
		return putResponse{header{s.revision}}
	}))
	app.Post("/v3/kv/txn", handle(s, true, func(r txnRequest) any { return s.txn(r) }))
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

// handle decodes a request, applies the faults and answers with the result of do, which runs with mu held.
func handle[R any](s *Store, write bool, do func(R) any) fiber.Handler {
	return func(c fiber.Ctx) error {
		var r R
		if err := json.Unmarshal(c.Body(), &r); err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": err.Error(), "code": 3})
		}
		s.mu.Lock()
		s.calls++
		f := s.faults
		s.mu.Unlock()
		time.Sleep(f.Delay)
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": "etcdserver: no leader", "code": 14})
		}
		s.expire()
		out := do(r)
		lose := write && s.faults.LoseAnswer > 0
		if lose {
			s.faults.LoseAnswer--
		}
		s.mu.Unlock()
		if lose {
			_ = c.RequestCtx().Conn().Close()
			return errLost
		}
		return c.JSON(out)
	}
}

func (s *Store) grant(r leaseRequest) any {
	id := r.ID
	if id == 0 {
		s.revision++
		id = 1000 + s.revision
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	return leaseResponse{ID: id, TTL: r.TTL}
}

func (s *Store) keepAlive(r leaseRequest) any {
	l, ok := s.leases[r.ID]
	if !ok {
		return struct {
			Result leaseResponse `json:"result"`
		}{leaseResponse{ID: r.ID}}
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[r.ID] = l
	return struct {
		Result leaseResponse `json:"result"`
	}{leaseResponse{ID: r.ID, TTL: number(l.ttl / time.Second)}}
}

func (s *Store) revoke(r leaseRequest) any {
	if l, ok := s.leases[r.ID]; ok {
		l.ends = time.Time{}
		s.leases[r.ID] = l
		s.expire()
	}
	return leaseResponse{ID: r.ID}
}

// watch streams the events of a key or range from a revision on.
func (s *Store) watch(c fiber.Ctx) error {
	var r watchRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	s.mu.Lock()
	s.calls++
	down := s.faults.Down
	from := r.Create.StartRevision
	if from == 0 {
		from = s.revision + 1
	}
	s.mu.Unlock()
	if down {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStreamWriter(func(w *bufio.Writer) {
		var hello watchResponse
		hello.Result.Created = true
		if !send(w, hello) {
			return
		}
		for {
			events, next, changed, down := s.since(from, r.Create.Key, r.Create.RangeEnd)
			if down {
				return
			}
			from = next
			if len(events) > 0 {
				var out watchResponse
				out.Result.Header.Revision = next - 1
				out.Result.Events = events
				if !send(w, out) {
					return
				}
				continue
			}
			select {
			case <-changed:
			case <-time.After(time.Second):
				// A line feed shows whether the peer still listens, so that an abandoned watch ends.
				if _, err := w.WriteString("\n"); err != nil || w.Flush() != nil {
					return
				}
			}
		}
	})
}

// since returns the events of the range from a revision on, the next revision and a channel closed at the next change.
func (s *Store) since(from number, key, end []byte) (events []event, next number, changed <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	next = max(from, s.revision+1)
	for i := len(s.log) - 1; i >= 0 && s.log[i].KV.ModRevision >= from; i-- {
		if within(s.log[i].KV.Key, key, end) {
			events = append([]event{s.log[i]}, events...)
		}
	}
	return events, next, s.changed, s.faults.Down
}

func send(w *bufio.Writer, v any) bool {
	b, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = w.Write(append(b, '\n'))
	return w.Flush() == nil
}
