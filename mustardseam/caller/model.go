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

// models lists the model routes.
func (s *Server) models(c fiber.Ctx) error {
	cfg, _, problem := s.authenticate(c)
	if problem != nil {
		return problem.send(c)
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"` // The API asks for it; routes have no time of creation.
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

// complete answers a completion request of a model route.
func (s *Server) complete(c fiber.Ctx, chat bool) error {
	r, problem := s.modelRequest(c, chat)
	if problem != nil {
		return problem.send(c)
	}
	gone, stop := tcp.WatchClose(c.RequestCtx().Conn())
	r.Gone = gone
	x, problem := s.cfg.Scheduler.Open(r)
	if problem != nil {
		stop()
		return problem.send(c)
	}
	status, header := x.Head()
	for k, v := range header {
		c.Set(k, v)
	}
	if r.Stream && status == fiber.StatusOK {
		return stream(c, x, stop)
	}
	defer stop()
	defer x.Close()
	body, problem := x.Whole()
	if problem != nil {
		return problem.send(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// The paths of completions, as engines know them.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// modelRequest reads a completion request.
func (s *Server) modelRequest(c fiber.Ctx, chat bool) (Request, *Problem) {
	cfg, team, problem := s.authenticate(c)
	if problem != nil {
		return Request{}, problem
	}
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return Request{}, NewProblem("unsupported-encoding", fiber.StatusUnsupportedMediaType, true, "the body must not be compressed")
	}
	in, err := parseCompletion(c.BodyRaw(), chat)
	if err != nil {
		return Request{}, badRequest(err.Error())
	}
	route, ok := cfg.Route(in.model)
	p, _ := cfg.Pool(route.Pool)
	if !ok || p.Kind != operator.Engines {
		return Request{}, NewProblem("unknown-model", fiber.StatusNotFound, true, fmt.Sprintf("no model %q", in.model))
	}
	r := Request{
		Team: team, Route: route, Kind: operator.Engines, Group: in.user, Method: fiber.MethodPost, Path: textPath,
		Body: bytes.Clone(c.BodyRaw()), Stream: in.stream, Chat: chat, Prompt: in.prompt.tokens, MaxOutput: in.output,
		Prefix: blocks(in.prompt.text),
	}
	if chat {
		r.Path = chatPath
	}
	return r, s.options(c, cfg, &r)
}

// stream writes the events of an exchange as they come and stops the watch of the connection after the last one.
func stream(c fiber.Ctx, x Exchange, stop func()) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer stop()
		defer x.Close()
		for {
			data, err := x.Next()
			switch {
			case errors.Is(err, io.EOF):
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
				return
			case err != nil:
				incomplete(w, err)
				return
			}
			if writeEvent(w, data) != nil {
				return
			}
		}
	})
}

// writeEvent writes one event. Line breaks within the data begin new data lines, since they would end the event.
func writeEvent(w *bufio.Writer, data []byte) error {
	for line := range bytes.Lines(data) {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(bytes.TrimRight(line, "\r\n"))
		_ = w.WriteByte('\n')
	}
	_ = w.WriteByte('\n')
	return w.Flush()
}

// incomplete ends a stream with an event that says that the answer is not whole.
func incomplete(w *bufio.Writer, err error) {
	b, _ := json.Marshal(struct {
		Error *Problem `json:"error"`
	}{NewProblem("incomplete", fiber.StatusBadGateway, false, "the answer is incomplete: "+err.Error())})
	_, _ = w.WriteString("event: error\n")
	_ = writeEvent(w, b) // The caller sees the missing end when it is gone.
}
