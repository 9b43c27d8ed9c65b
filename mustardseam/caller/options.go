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
	headerKey           = "Idempotency-Key"
	headerTier          = "Mustardseam-Tier"
	headerTimeout       = "Mustardseam-Timeout"
	headerNonIdempotent = "Mustardseam-Non-Idempotent"
	maxKey              = 256
)

// options reads what every request may carry in its headers.
func (s *Server) options(c fiber.Ctx, cfg *revision.Config, r *Request) *Problem {
	for _, name := range []string{headerKey, headerTier, headerTimeout, headerNonIdempotent} {
		if n := len(c.Request().Header.PeekAll(name)); n > 1 {
			return badRequest(fmt.Sprintf("%s must not be repeated", name))
		}
	}
	for _, read := range []func(fiber.Ctx, *revision.Config, *Request) *Problem{s.tier, s.deadline, key, nonIdempotent} {
		if problem := read(c, cfg, r); problem != nil {
			return problem
		}
	}
	return nil
}

// tier reads the tier, the team's first one when the caller chooses none.
func (s *Server) tier(c fiber.Ctx, cfg *revision.Config, r *Request) *Problem {
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

// deadline reads the timeout, which only shortens the one of the route and of the instance.
func (s *Server) deadline(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	limit := s.cfg.Request
	if r.Route.Timeout > 0 {
		limit = min(limit, time.Duration(r.Route.Timeout*float64(time.Second)))
	}
	if text := c.Get(headerTimeout); text != "" {
		sec, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(sec, 0) || !(sec > 0) {
			return badRequest(headerTimeout + " must be a positive number of seconds")
		}
		if sec < limit.Seconds() {
			limit = time.Duration(sec * float64(time.Second))
		}
	}
	r.Deadline = s.cfg.Now().Add(limit)
	return nil
}

// key reads the idempotency key. Bytes outside of ASCII are refused, because JSON between instances would replace them
// and so make different keys equal; so is an empty key, whose sender counts on a protection that it would not get.
func key(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	sent := c.Request().Header.PeekAll(headerKey)
	if len(sent) == 0 {
		return nil
	}
	r.Key = string(sent[0])
	if len(r.Key) == 0 || len(r.Key) > maxKey {
		return badRequest(fmt.Sprintf("%s must have 1 to %d bytes", headerKey, maxKey))
	}
	for _, b := range sent[0] {
		if b < ' ' || b > '~' {
			return badRequest(headerKey + " must be printable ASCII")
		}
	}
	return nil
}

// nonIdempotent reads whether the call may run at most once, which a caller may ask for but not waive.
func nonIdempotent(c fiber.Ctx, _ *revision.Config, r *Request) *Problem {
	switch text := c.Get(headerNonIdempotent); text {
	case "", "false":
	case "true":
		r.NonIdempotent = true
	default:
		return badRequest(headerNonIdempotent + " must be true or false")
	}
	r.NonIdempotent = r.NonIdempotent || r.Route.NonIdempotent
	return nil
}
