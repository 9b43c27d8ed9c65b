package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
)

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is the part of the OpenAI API that the engine reads.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Order tells the engine to load a version or an adapter or to change role.
type Order struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing-token"`
}

// Serve answers on the listener until it is closed.
func (e *Engine) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: 8 << 20})
	app.Post("/v1/chat/completions", e.complete)
	app.Post("/v1/completions", e.complete)
	app.Get("/load", func(c fiber.Ctx) error { return c.JSON(e.load()) })
	app.Get("/cache-events", e.cacheEvents)
	app.Post("/cancel/:id", e.cancel)
	app.Get("/resume/:id", e.resume)
	app.Post("/orders", e.order)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (e *Engine) complete(c fiber.Ctx) error {
	var r request
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "invalid JSON"})
	}
	e.mu.Lock()
	refuse := e.faults.Refuse
	e.mu.Unlock()
	if refuse {
		c.Set("X-Not-Admitted", "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	s := newStream(strings.Clone(c.Get("X-Request-Id")), r)
	if e.admit(s) {
		return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "engine failed"})
	}
	if !r.Stream {
		return e.whole(c, s)
	}
	return e.sse(c, s, 0)
}

// newStream derives the answer of a request from its prompt.
func newStream(id string, r request) *stream {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Role + ":" + m.Content + "\n"
	}
	sum := xxhash.Sum64String(text)
	length := r.MaxTokens
	if length <= 0 {
		length = 8 + int(sum%56)
	}
	return &stream{
		id: id, model: strings.Clone(r.Model), tag: fmt.Sprintf("%08x", uint32(sum)), prompt: max(1, len(text)/4), length: length,
		blocks: Blocks(text), changed: make(chan struct{}),
	}
}

// Blocks returns the chained hashes of the whole blocks of a prompt, four bytes counted as one token.
func Blocks(text string) []uint64 {
	h := xxhash.New()
	var list []uint64
	const size = BlockTokens * 4
	for len(text) >= size {
		_, _ = h.WriteString(text[:size])
		list = append(list, h.Sum64())
		text = text[size:]
	}
	return list
}

// whole answers a request that does not stream.
func (e *Engine) whole(c fiber.Ctx, s *stream) error {
	for {
		n, ended, failed, changed := s.read()
		if failed {
			return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "engine failed"})
		}
		if ended {
			var b strings.Builder
			for i := range n {
				b.WriteString(s.text(i))
			}
			return c.JSON(fiber.Map{
				"id": s.id, "object": "chat.completion", "model": s.model,
				"choices": []fiber.Map{{"index": 0, "finish_reason": "stop", "message": message{"assistant", b.String()}}},
				"usage":   s.usage(n),
			})
		}
		select {
		case <-changed:
		case <-e.stop:
			s.end(true)
		}
	}
}

func (s *stream) usage(n int) fiber.Map {
	return fiber.Map{
		"prompt_tokens": s.prompt, "completion_tokens": n, "total_tokens": s.prompt + n,
		"prompt_tokens_details": fiber.Map{"cached_tokens": s.cached},
	}
}

// sse streams tokens from number n on as server-sent events.
func (e *Engine) sse(c fiber.Ctx, s *stream, n int) error {
	c.Set("Content-Type", "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		for {
			have, ended, failed, changed := s.read()
			for ; n < have; n++ {
				if e.breaks(n) {
					panic("connection broken by fault")
				}
				s.chunk(w, n, nil)
			}
			if failed {
				return
			}
			if ended {
				stop := "stop"
				s.chunk(w, -1, &stop)
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
				return
			}
			if w.Flush() != nil {
				s.end(false)
				return
			}
			select {
			case <-changed:
			case <-e.stop:
				return
			}
		}
	})
}

// chunk writes token n, or the last event when finish is set.
func (s *stream) chunk(w *bufio.Writer, n int, finish *string) {
	delta := fiber.Map{}
	if n >= 0 {
		delta["content"] = s.text(n)
	}
	ev := fiber.Map{
		"id": s.id, "object": "chat.completion.chunk", "model": s.model,
		"choices": []fiber.Map{{"index": 0, "delta": delta, "finish_reason": finish}},
	}
	if finish != nil {
		ev["usage"] = s.usage(s.tokens)
	}
	b, _ := json.Marshal(ev)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

// breaks reports whether the connection must break before token n, which happens once.
func (e *Engine) breaks(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakAt == 0 || n != e.faults.BreakAt || e.broken {
		return false
	}
	e.broken = true
	return true
}

func (e *Engine) resume(c fiber.Ctx) error {
	e.mu.Lock()
	s := e.streams[c.Params("id")]
	e.mu.Unlock()
	if s == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	n, err := strconv.Atoi(c.Query("after", "0"))
	if err != nil || n < 0 {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	return e.sse(c, s, n)
}

func (e *Engine) cancel(c fiber.Ctx) error {
	e.mu.Lock()
	s := e.streams[c.Params("id")]
	e.mu.Unlock()
	if s == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.end(false)
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := min(after, uint64(len(e.events)))
	return c.JSON(e.events[at:])
}

func (e *Engine) order(c fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.FencingToken < e.fence {
		return c.Status(fiber.StatusConflict).JSON(fiber.Map{"error": "stale fencing token"})
	}
	e.fence = max(e.fence, o.FencingToken)
	if o.Kind == "load-version" {
		e.version = strings.Clone(o.Name)
		e.coldLeft = max(1, e.cfg.ColdFor)
	}
	return c.SendStatus(fiber.StatusNoContent)
}
