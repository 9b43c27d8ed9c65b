package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// sendCompletion waits for the end of the stream and sends the answer as a single JSON document.
func (e *Engine) sendCompletion(c fiber.Ctx, s *stream) error {
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

// completion returns the complete answer of n tokens.
func (s *stream) completion(n int) fiber.Map {
	var b strings.Builder
	for i := range n {
		b.WriteString(s.tokenText(i))
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
		"prompt_tokens": s.promptTokens, "completion_tokens": n, "total_tokens": s.promptTokens + n,
		"prompt_tokens_details": fiber.Map{"cached_tokens": s.cachedTokens},
	}
}

// sendStream sends the tokens from index n on as server-sent events. The request continues when the client disconnects,
// so that it can be resumed; a client ends it by cancelling it.
func (e *Engine) sendStream(c fiber.Ctx, s *stream, n int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	conn := c.RequestCtx().Conn()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		for {
			have, state, changed := s.read()
			for ; n < have; n++ {
				if e.takeConnectionBreak(n) {
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

// finish writes the end of a stream; a stream that did not complete ends without the final event.
func (s *stream) finish(w *bufio.Writer, n int, state streamState) {
	if state == completed {
		stop := "stop"
		s.chunk(w, n, &stop)
		_, _ = w.WriteString("data: [DONE]\n\n")
	}
	_ = w.Flush()
}

// chunk writes the event of token n, or the final event after n tokens when finish is set.
func (s *stream) chunk(w *bufio.Writer, n int, finish *string) {
	text := ""
	if finish == nil {
		text = s.tokenText(n)
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

// takeConnectionBreak reports whether the injected fault breaks the connection before token n; it does so only once.
func (e *Engine) takeConnectionBreak(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakAt == 0 || n != e.faults.BreakAt || e.connectionBroken {
		return false
	}
	e.connectionBroken = true
	return true
}
