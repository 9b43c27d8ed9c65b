package caller

import (
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/operator"
)

// service answers a call of a service route.
func (s *Server) service(c fiber.Ctx) error {
	r, problem := s.serviceRequest(c)
	if problem != nil {
		return problem.send(c)
	}
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
	path := "/" + c.Params("*")
	if q := string(c.Request().URI().QueryString()); q != "" {
		path += "?" + q
	}
	r := Request{
		Team: team, Route: route, Kind: operator.Services, Method: c.Method(), Path: path,
		Header: forwarded(c), Body: c.Body(), Prompt: 1,
	}
	return r, s.options(c, cfg, &r)
}

// forwarded returns the headers that a service may see: neither the caller's key nor those of the connection.
func forwarded(c fiber.Ctx) map[string]string {
	out := map[string]string{}
	for k, v := range c.Request().Header.All() {
		name := string(k)
		switch strings.ToLower(name) {
		case "authorization", "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "proxy-authorization", "proxy-connection", "expect":
			continue
		}
		if strings.HasPrefix(strings.ToLower(name), "mustardseam-") {
			continue
		}
		out[name] = string(v)
	}
	return out
}
