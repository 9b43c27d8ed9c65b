package caller

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// authenticate returns the current configuration and the team of the caller. The key is looked up by its SHA-256 hash,
// so the duration of the lookup reveals nothing about the keys in the configuration.
func (s *Server) authenticate(c fiber.Ctx) (*revision.Config, operator.Team, *Problem) {
	cfg := s.cfg.Scheduler.Config()
	if cfg == nil {
		return nil, operator.Team{}, NewProblem("not-ready", fiber.StatusServiceUnavailable, len(c.Request().Header.PeekAll(headerIdempotencyKey)) == 0,
			"this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	key, ok := bearerToken(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return nil, operator.Team{}, NewProblem("unauthorized", fiber.StatusUnauthorized, true, "a bearer key is required")
	}
	team, ok := cfg.TeamByKey(key)
	if !ok {
		return nil, operator.Team{}, NewProblem("unauthorized", fiber.StatusUnauthorized, true, "the key belongs to no team")
	}
	return cfg, team, nil
}

// bearerToken returns the token of an Authorization header. The scheme is case-insensitive (RFC 9110 section 11.1).
func bearerToken(header string) (string, bool) {
	scheme, key, _ := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, "Bearer") && key != ""
}
