package caller

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

// problemTypePrefix is put before the name of a problem; the names are stable.
const problemTypePrefix = "urn:mustardseam:problem:"

// problemMediaType is the media type of problems.
const problemMediaType = "application/problem+json"

// defaultRetryAfter is what a request that was given up without being run is told when no better time is known.
const defaultRetryAfter = time.Second

// Problem is a refusal or failure as application/problem+json (RFC 9457).
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	NotRun     bool          `json:"not-run"` // True only when it is certain that neither the request nor an earlier one with its key ran.
	RetryAfter time.Duration `json:"-"`       // Sent as a header in whole seconds; 0 when unknown.
}

// NewProblem returns a problem of the named type.
func NewProblem(name string, status int, notRun bool, detail string) *Problem {
	return &Problem{Type: problemTypePrefix + name, Title: strings.ReplaceAll(name, "-", " "), Status: status, NotRun: notRun, Detail: detail}
}

// badRequest returns the problem of a request that cannot be read.
func badRequest(detail string) *Problem {
	return NewProblem("bad-request", fiber.StatusBadRequest, true, detail)
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (p Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return &p
}

// send writes the problem as the response.
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
