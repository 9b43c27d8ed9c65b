package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
	"github.com/mustardseam/mustardseam/operator"
)

// listModels answers with the list of model routes.
func (s *Server) listModels(c fiber.Ctx) error {
	cfg, _, problem := s.authenticate(c)
	if problem != nil {
		return problem.send(c)
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"` // Required by the API; always 0, since routes have no creation time.
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, r := range cfg.Document.Routes {
		if p, _ := cfg.Pool(r.Pool); p.Kind == operator.Engines {
			list = append(list, model{ID: r.Name, Object: "model", OwnedBy: "mustardseam"})
		}
	}
	return c.JSON(fiber.Map{"object": "list", "data": list})
}

// handleCompletion handles a completion request for a model route.
func (s *Server) handleCompletion(c fiber.Ctx, chat bool) error {
	r, problem := s.parseModelRequest(c, chat)
	if problem != nil {
		return problem.send(c)
	}
	disconnected, stopWatch := tcp.WatchClose(c.RequestCtx().Conn())
	r.Disconnected = disconnected
	exchange, problem := s.cfg.Scheduler.Handle(r)
	if problem != nil {
		stopWatch()
		return problem.send(c)
	}
	status, header := exchange.Head()
	for k, v := range header {
		c.Set(k, v)
	}
	if r.Stream && status == fiber.StatusOK {
		return writeStream(c, exchange, stopWatch)
	}
	defer stopWatch()
	defer exchange.Close()
	body, problem := exchange.ReadAll()
	if problem != nil {
		return problem.send(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// Paths of the completion endpoints of the OpenAI API, which engines use as well.
const (
	chatCompletionsPath = "/v1/chat/completions"
	completionsPath     = "/v1/completions"
)

// parseModelRequest authenticates and parses a completion request.
func (s *Server) parseModelRequest(c fiber.Ctx, chat bool) (Request, *Problem) {
	cfg, team, problem := s.authenticate(c)
	if problem != nil {
		return Request{}, problem
	}
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return Request{}, NewProblem("unsupported-encoding", fiber.StatusUnsupportedMediaType, true, "the body must not be compressed")
	}
	parsed, err := parseCompletion(c.BodyRaw(), chat)
	if err != nil {
		return Request{}, badRequest(err.Error())
	}
	route, ok := cfg.Route(parsed.model)
	pool, _ := cfg.Pool(route.Pool)
	if !ok || pool.Kind != operator.Engines {
		return Request{}, NewProblem("unknown-model", fiber.StatusNotFound, true, fmt.Sprintf("no model %q", parsed.model))
	}
	r := Request{
		Team: team, Route: route, Kind: operator.Engines, Group: parsed.user, Method: fiber.MethodPost, Path: completionsPath,
		Body: bytes.Clone(c.BodyRaw()), Stream: parsed.stream, Chat: chat, PromptTokens: parsed.prompt.estimatedTokens, MaxOutputTokens: parsed.maxOutputTokens,
		Prefix: prefixHashes(parsed.prompt.text),
	}
	if chat {
		r.Path = chatCompletionsPath
	}
	return r, s.parseHeaders(c, cfg, &r)
}

// writeStream sends the events of an exchange as they arrive and stops the connection watch after the last one.
func writeStream(c fiber.Ctx, exchange Exchange, stopWatch func()) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer stopWatch()
		defer exchange.Close()
		for {
			data, err := exchange.Next()
			switch {
			case errors.Is(err, io.EOF):
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
				return
			case err != nil:
				writeIncomplete(w, err)
				return
			}
			if writeEvent(w, data) != nil {
				return
			}
		}
	})
}

// writeEvent writes and flushes one server-sent event. Each line of the data becomes a data line of its own, because a
// line break within the data would end the event.
func writeEvent(w *bufio.Writer, data []byte) error {
	for line := range bytes.Lines(data) {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(bytes.TrimRight(line, "\r\n"))
		_ = w.WriteByte('\n')
	}
	_ = w.WriteByte('\n')
	return w.Flush()
}

// writeIncomplete ends a stream with an error event that says that the answer is incomplete.
func writeIncomplete(w *bufio.Writer, err error) {
	b, _ := json.Marshal(struct {
		Error *Problem `json:"error"`
	}{NewProblem("incomplete", fiber.StatusBadGateway, false, "the answer is incomplete: "+err.Error())})
	_, _ = w.WriteString("event: error\n")
	_ = writeEvent(w, b) // If the write fails, the caller notices the missing end of the stream.
}
