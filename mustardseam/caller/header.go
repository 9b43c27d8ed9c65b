package caller

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerTier             = "Mustardseam-Tier"
	headerTimeout          = "Mustardseam-Timeout"
	headerNonIdempotent    = "Mustardseam-Non-Idempotent"
	maxIdempotencyKeyBytes = 256
)

// parseHeaders parses the headers that any request may have.
func (s *Server) parseHeaders(c fiber.Ctx, cfg *revision.Config, r *Request) *Problem {
	for _, name := range []string{headerIdempotencyKey, headerTier, headerTimeout, headerNonIdempotent} {
		if n := len(c.Request().Header.PeekAll(name)); n > 1 {
			return badRequest(fmt.Sprintf("%s must not be repeated", name))
		}
	}
	for _, parse := range []func(fiber.Ctx, *revision.Config, *Request) *Problem{s.parseTier, s.parseDeadline, parseIdempotencyKey, parseNonIdempotent} {
		if problem := parse(c, cfg, r); problem != nil {
			return problem
		}
	}
	return nil
}

// parseTier parses the tier; it defaults to the team's first one.
func (s *Server) parseTier(c fiber.Ctx, cfg *revision.Config, r *Request) *Problem {
	name := c.Get(headerTier)
	if name == "" && len(r.Team.Tiers) > 0 {
		name = r.Team.Tiers[0]
	}
	if !slices.Contains(r.Team.Tiers, name) {
		return NewProblem("tier-not-allowed", fiber.StatusForbidden, true, fmt.Sprintf("team %s may use the tiers %s",
			r.Team.Name, strings.Join(r.Team.Tiers, ", ")))
	}
	r.Tier, _ = cfg.Tier(name)
	return nil
}

// parseDeadline parses the timeout, which can only shorten those of the route and of the instance.
func (s *Server) parseDeadline(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	timeout := s.cfg.RequestTimeout
	if r.Route.Timeout > 0 {
		timeout = min(timeout, time.Duration(r.Route.Timeout*float64(time.Second)))
	}
	if value := c.Get(headerTimeout); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(seconds, 0) || !(seconds > 0) {
			return badRequest(headerTimeout + " must be a positive number of seconds")
		}
		if seconds < timeout.Seconds() {
			timeout = time.Duration(seconds * float64(time.Second))
		}
	}
	r.Deadline = s.cfg.Now().Add(timeout)
	return nil
}

// parseIdempotencyKey parses the idempotency key. Bytes outside of ASCII are refused, because JSON between instances
// would replace them and make different keys equal. An empty key is refused, because its sender expects protection from
// duplicate runs and would not get it.
func parseIdempotencyKey(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	values := c.Request().Header.PeekAll(headerIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	r.IdempotencyKey = string(values[0])
	if len(r.IdempotencyKey) == 0 || len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest(fmt.Sprintf("%s must have 1 to %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	for _, b := range values[0] {
		if b < ' ' || b > '~' {
			return badRequest(headerIdempotencyKey + " must be printable ASCII")
		}
	}
	return nil
}

// parseNonIdempotent parses whether the request may run at most once. A caller can ask for this but cannot waive it.
func parseNonIdempotent(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	switch value := c.Get(headerNonIdempotent); value {
	case "", "false":
	case "true":
		r.NonIdempotent = true
	default:
		return badRequest(headerNonIdempotent + " must be true or false")
	}
	r.NonIdempotent = r.NonIdempotent || r.Route.NonIdempotent
	return nil
}
