package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gofiber/fiber/v3"

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
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, r := range cfg.Document.Routes {
		if p, _ := cfg.Pool(r.Pool); p.Kind == operator.Engines {
			list = append(list, model{r.Name, "model", "mustardseam"})
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
	x, problem := s.cfg.Scheduler.Open(r)
	if problem != nil {
		return problem.send(c)
	}
	status, header := x.Head()
	for k, v := range header {
		c.Set(k, v)
	}
	if r.Stream && status == fiber.StatusOK {
		return stream(c, x)
	}
	defer x.Close()
	body, problem := x.Whole()
	if problem != nil {
		return problem.send(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// modelRequest reads a completion request.
func (s *Server) modelRequest(c fiber.Ctx, chat bool) (Request, *Problem) {
	cfg, team, problem := s.authenticate(c)
	if problem != nil {
		return Request{}, problem
	}
	var in completion
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return Request{}, NewProblem("bad-request", fiber.StatusBadRequest, true, "the body is not valid JSON: "+err.Error())
	}
	if in.N > 1 {
		return Request{}, NewProblem("bad-request", fiber.StatusBadRequest, true, "n must be 1")
	}
	route, ok := cfg.Route(in.Model)
	p, _ := cfg.Pool(route.Pool)
	if !ok || p.Kind != operator.Engines {
		return Request{}, NewProblem("unknown-model", fiber.StatusNotFound, true, fmt.Sprintf("no model %q", in.Model))
	}
	text := in.text()
	r := Request{
		Team: team, Route: route, Kind: operator.Engines, Group: in.User, Method: c.Method(), Path: c.Path(),
		Body: c.Body(), Stream: in.Stream, Chat: chat, Prompt: max(1, len(text)/bytesPerToken),
		MaxOutput: max(in.MaxTokens, in.MaxCompletionTokens), Prefix: blocks(text),
	}
	return r, s.options(c, cfg, &r)
}

// stream writes the events of an exchange as they come.
func stream(c fiber.Ctx, x Exchange) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
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
			_, _ = w.WriteString("data: ")
			_, _ = w.Write(data)
			_, _ = w.WriteString("\n\n")
			if w.Flush() != nil {
				return
			}
		}
	})
}

// incomplete ends a stream with an event that says that the answer is not whole.
func incomplete(w *bufio.Writer, err error) {
	b, _ := json.Marshal(struct {
		Error *Problem `json:"error"`
	}{NewProblem("incomplete", fiber.StatusBadGateway, false, "the answer is incomplete: "+err.Error())})
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
