package caller

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

// problemTypePrefix precedes the name of a problem in its type; the names are stable.
const problemTypePrefix = "urn:mustardseam:problem:"

// problemMediaType is the media type of a problem document.
const problemMediaType = "application/problem+json"

// defaultRetryAfter is the Retry-After value of a request that was refused without being run and for which no better
// estimate is known.
const defaultRetryAfter = time.Second

// Problem describes a refusal or failure and is sent as application/problem+json (RFC 9457).
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	NotRun     bool          `json:"not-run"` // True only if it is certain that neither the request nor an earlier one with its idempotency key ran.
	RetryAfter time.Duration `json:"-"`       // Sent in the Retry-After header in whole seconds, rounded up; 0 if unknown.
}

// NewProblem returns a problem whose type and title are derived from the name.
func NewProblem(name string, status int, notRun bool, detail string) *Problem {
	return &Problem{Type: problemTypePrefix + name, Title: strings.ReplaceAll(name, "-", " "), Status: status, NotRun: notRun, Detail: detail}
}

// badRequest returns the problem for a malformed or invalid request.
func badRequest(detail string) *Problem {
	return NewProblem("bad-request", fiber.StatusBadRequest, true, detail)
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (p Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return &p
}

// send writes the problem as the response. A refusal with status 503 that was not run always gets a Retry-After header.
func (p *Problem) send(c fiber.Ctx) error {
	retryAfter := p.RetryAfter
	if retryAfter <= 0 && p.NotRun && p.Status == fiber.StatusServiceUnavailable {
		retryAfter = defaultRetryAfter
	}
	if retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if p.Status == fiber.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	return c.Status(p.Status).JSON(p, problemMediaType)
}
