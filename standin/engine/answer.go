package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// whole answers a request that does not stream.
func (e *Engine) whole(c fiber.Ctx, s *stream) error {
	for {
		n, state, changed := s.read()
		switch state {
		case completed:
			return c.JSON(s.completion(n))
		case cancelled, failed:
			return c.Status(fiber.StatusInternalServerError).JSON(fiber.Map{"error": "engine failed"})
		}
		select {
		case <-changed:
		case <-e.stop:
			s.stop(failed)
		}
	}
}

// completion returns the whole answer.
func (s *stream) completion(n int) fiber.Map {
	var b strings.Builder
	for i := range n {
		b.WriteString(s.text(i))
	}
	choice := fiber.Map{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice["message"] = fiber.Map{"role": "assistant", "content": b.String()}
	} else {
		choice["text"] = b.String()
	}
	return fiber.Map{"id": s.id, "object": object, "model": s.model, "choices": []fiber.Map{choice}, "usage": s.usage(n)}
}

func (s *stream) usage(n int) fiber.Map {
	return fiber.Map{
		"prompt_tokens": s.prompt, "completion_tokens": n, "total_tokens": s.prompt + n,
		"prompt_tokens_details": fiber.Map{"cached_tokens": s.cached},
	}
}

// sse streams tokens from number n on as server-sent events. The request goes on when the reader leaves, so that it can
// be resumed; a reader that wants its end cancels it.
func (e *Engine) sse(c fiber.Ctx, s *stream, n int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	conn := c.RequestCtx().Conn()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		for {
			have, state, changed := s.read()
			for ; n < have; n++ {
				if e.breaks(n) {
					_ = w.Flush()
					_ = conn.Close()
					return
				}
				s.chunk(w, n, nil)
			}
			if state != running {
				s.finish(w, have, state)
				return
			}
			if w.Flush() != nil {
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

// finish writes the end of a stream; one that did not complete ends without the last event.
func (s *stream) finish(w *bufio.Writer, n int, state end) {
	if state == completed {
		stop := "stop"
		s.chunk(w, n, &stop)
		_, _ = w.WriteString("data: [DONE]\n\n")
	}
	_ = w.Flush()
}

// chunk writes token n, or the last event, after n tokens, when finish is set.
func (s *stream) chunk(w *bufio.Writer, n int, finish *string) {
	text := ""
	if finish == nil {
		text = s.text(n)
	}
	choice := fiber.Map{"index": 0, "finish_reason": finish}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
		choice["delta"] = fiber.Map{"content": text}
	} else {
		choice["text"] = text
	}
	ev := fiber.Map{"id": s.id, "object": object, "model": s.model, "choices": []fiber.Map{choice}}
	if finish != nil {
		ev["usage"] = s.usage(n)
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
