package caller

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/service"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
	"github.com/mustardseam/mustardseam/operator"
)

// handleService handles a request for a service route.
func (s *Server) handleService(c fiber.Ctx) error {
	r, problem := s.parseServiceRequest(c)
	if problem != nil {
		return problem.send(c)
	}
	disconnected, stopWatch := tcp.WatchClose(c.RequestCtx().Conn())
	defer stopWatch()
	r.Disconnected = disconnected
	exchange, problem := s.cfg.Scheduler.Handle(r)
	if problem != nil {
		return problem.send(c)
	}
	defer exchange.Close()
	body, problem := exchange.ReadAll()
	if problem != nil {
		return problem.send(c)
	}
	status, header := exchange.Head()
	for k, v := range header {
		c.Set(k, v)
	}
	return c.Status(status).Send(body)
}

// parseServiceRequest authenticates and parses a request for a service route.
func (s *Server) parseServiceRequest(c fiber.Ctx) (Request, *Problem) {
	cfg, team, problem := s.authenticate(c)
	if problem != nil {
		return Request{}, problem
	}
	name := c.Params("route")
	route, ok := cfg.Route(name)
	pool, _ := cfg.Pool(route.Pool)
	if !ok || pool.Kind != operator.Services {
		return Request{}, NewProblem("unknown-service", fiber.StatusNotFound, true, fmt.Sprintf("no service %q", name))
	}
	r := Request{
		Team: team, Route: route, Kind: operator.Services, Method: c.Method(), Path: servicePath(c.Request().URI()),
		Header: forwardedHeaders(c), Body: bytes.Clone(c.BodyRaw()), PromptTokens: 1,
	}
	return r, s.parseHeaders(c, cfg, &r)
}

// servicePath returns the path below the route, with the query, as the caller sent it.
func servicePath(uri *fasthttp.URI) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(string(uri.PathOriginal()), "/"), "/") // Strips "services".
	_, path, _ = strings.Cut(path, "/")                                                 // Strips the name of the route.
	path = "/" + path
	if query := uri.QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return path
}

// forwardedHeaders returns the headers that are forwarded to a service. The caller's key, the headers of the connection
// and those of this system are left out.
func forwardedHeaders(c fiber.Ctx) map[string]string {
	header := service.EndToEndHeaders(c.Request().Header.All())
	for name := range header {
		lower := strings.ToLower(name)
		if lower == "authorization" || lower == "host" || lower == "expect" || strings.HasPrefix(lower, "mustardseam-") {
			delete(header, name)
		}
	}
	return header
}
