package caller

import (
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
)

// typePrefix is put before the name of a problem; the names are stable.
const typePrefix = "urn:mustardseam:problem:"

// Problem is a refusal or failure as application/problem+json (RFC 9457).
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	NotRun     bool          `json:"not-run"` // True only when it is certain that the request did not run.
	RetryAfter time.Duration `json:"-"`       // Sent as a header in whole seconds; 0 when unknown.
}

// NewProblem returns a problem of the named type.
func NewProblem(name string, status int, notRun bool, detail string) *Problem {
	return &Problem{Type: typePrefix + name, Title: name, Status: status, NotRun: notRun, Detail: detail}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (p Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return &p
}

// send writes the problem as the response.
func (p *Problem) send(c fiber.Ctx) error {
	if p.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	return c.Status(p.Status).JSON(p, "application/problem+json")
}
