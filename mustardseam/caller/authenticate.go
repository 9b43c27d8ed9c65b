package caller

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	headerKey           = "Idempotency-Key"
	headerTier          = "Mustardseam-Tier"
	headerTimeout       = "Mustardseam-Timeout"
	headerNonIdempotent = "Mustardseam-Non-Idempotent"
	maxKey              = 256
)

// authenticate returns the configuration and the team of the caller.
func (s *Server) authenticate(c fiber.Ctx) (*revision.Config, operator.Team, *Problem) {
	cfg := s.cfg.Scheduler.Config()
	if cfg == nil {
		return nil, operator.Team{}, NewProblem("not-ready", fiber.StatusServiceUnavailable, true,
			"this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return nil, operator.Team{}, NewProblem("unauthorized", fiber.StatusUnauthorized, true, "a bearer key is required")
	}
	team, ok := cfg.TeamByKey(key)
	if !ok {
		return nil, operator.Team{}, NewProblem("unauthorized", fiber.StatusUnauthorized, true, "the key belongs to no team")
	}
	return cfg, team, nil
}

// options reads what every request may carry in its headers.
func (s *Server) options(c fiber.Ctx, cfg *revision.Config, r *Request) *Problem {
	name := r.Team.Tiers[0]
	if chosen := c.Get(headerTier); chosen != "" {
		name = chosen
	}
	if !slices.Contains(r.Team.Tiers, name) {
		return NewProblem("tier-not-allowed", fiber.StatusForbidden, true, fmt.Sprintf("team %s may use the tiers %s",
			r.Team.Name, strings.Join(r.Team.Tiers, ", ")))
	}
	r.Tier, _ = cfg.Tier(name)
	limit := s.cfg.Request
	if r.Route.Timeout > 0 {
		limit = min(limit, time.Duration(r.Route.Timeout*float64(time.Second)))
	}
	if text := c.Get(headerTimeout); text != "" {
		sec, err := strconv.ParseFloat(text, 64)
		if err != nil || !(sec > 0) {
			return NewProblem("bad-request", fiber.StatusBadRequest, true, headerTimeout+" must be a positive number of seconds")
		}
		if sec < limit.Seconds() {
			limit = time.Duration(sec * float64(time.Second))
		}
	}
	r.Deadline = s.cfg.Now().Add(limit)
	r.Key = c.Get(headerKey)
	if len(r.Key) > maxKey {
		return NewProblem("bad-request", fiber.StatusBadRequest, true, fmt.Sprintf("%s must have at most %d bytes", headerKey, maxKey))
	}
	switch text := c.Get(headerNonIdempotent); text {
	case "", "false":
	case "true":
		r.NonIdempotent = true
	default:
		return NewProblem("bad-request", fiber.StatusBadRequest, true, headerNonIdempotent+" must be true or false")
	}
	r.NonIdempotent = r.NonIdempotent || r.Route.NonIdempotent
	return nil
}
