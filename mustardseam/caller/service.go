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

// service answers a call of a service route.
func (s *Server) service(c fiber.Ctx) error {
	r, problem := s.serviceRequest(c)
	if problem != nil {
		return problem.send(c)
	}
	gone, stop := tcp.WatchClose(c.RequestCtx().Conn())
	defer stop()
	r.Gone = gone
	x, problem := s.cfg.Scheduler.Open(r)
	if problem != nil {
		return problem.send(c)
	}
	defer x.Close()
	body, problem := x.Whole()
	if problem != nil {
		return problem.send(c)
	}
	status, header := x.Head()
	for k, v := range header {
		c.Set(k, v)
	}
	return c.Status(status).Send(body)
}

// serviceRequest reads a call of a service route.
func (s *Server) serviceRequest(c fiber.Ctx) (Request, *Problem) {
	cfg, team, problem := s.authenticate(c)
	if problem != nil {
		return Request{}, problem
	}
	name := c.Params("route")
	route, ok := cfg.Route(name)
	p, _ := cfg.Pool(route.Pool)
	if !ok || p.Kind != operator.Services {
		return Request{}, NewProblem("unknown-service", fiber.StatusNotFound, true, fmt.Sprintf("no service %q", name))
	}
	r := Request{
		Team: team, Route: route, Kind: operator.Services, Method: c.Method(), Path: servicePath(c.Request().URI()),
		Header: forwarded(c), Body: bytes.Clone(c.BodyRaw()), Prompt: 1,
	}
	return r, s.options(c, cfg, &r)
}

// servicePath returns the path below the route with its query, as the caller wrote it.
func servicePath(uri *fasthttp.URI) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(string(uri.PathOriginal()), "/"), "/") // After "services".
	_, rest, _ = strings.Cut(rest, "/")                                                 // After the route.
	rest = "/" + rest
	if q := uri.QueryString(); len(q) > 0 {
		rest += "?" + string(q)
	}
	return rest
}

// forwarded returns the headers that a service may see: neither the caller's key nor those of the connection or of this
// system.
func forwarded(c fiber.Ctx) map[string]string {
	out := service.EndToEnd(c.Request().Header.All())
	for name := range out {
		lower := strings.ToLower(name)
		if lower == "authorization" || lower == "host" || lower == "expect" || strings.HasPrefix(lower, "mustardseam-") {
			delete(out, name)
		}
	}
	return out
}
