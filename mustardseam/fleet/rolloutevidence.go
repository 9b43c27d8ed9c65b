package fleet

import (
	"maps"
	"time"
)

// RolloutEvidence is what the instance that conducts a rollout has seen of the target version and of the service before, so that
// another one can continue. Its maps must not be changed.
type RolloutEvidence struct {
	Responses int `json:"responses,omitempty"` // Number of responses of the target version.
	Failures  int `json:"failures,omitempty"`  // Number of failed ones among them.
	Slow      int `json:"slow,omitempty"`      // Number of those that were slower than usual.
	// Excess is the number of failures beyond the usual rate while the old version was well.
	Excess float64 `json:"excess,omitempty"`
	// UsualFailures is the rate of failures of the old version when it is well, by route; the empty name stands for all.
	UsualFailures   map[string]UsualFailures `json:"usual-failures,omitempty"`
	UsualFirst      time.Duration            `json:"usual-first,omitempty"`       // Usual time to the first event, in the unit of samples; 0 if unknown.
	UsualInterToken time.Duration            `json:"usual-inter-token,omitempty"` // Usual inter-token latency, as UsualFirst.
}

// UsualFailures is the rate of failures of a version that is well.
type UsualFailures struct {
	Rate   float64 `json:"rate"`
	Blocks int     `json:"blocks"` // Number of blocks of responses of which it was found.
}

// Bad returns the number of responses that failed or were slower than usual.
func (e RolloutEvidence) Bad() int { return e.Failures + e.Slow }

// IsZero reports whether nothing is known.
func (e RolloutEvidence) IsZero() bool {
	return e.Responses == 0 && e.Bad() == 0 && len(e.UsualFailures) == 0 && e.UsualFirst == 0 && e.UsualInterToken == 0
}

// WithCounts returns a copy with counts that are at least those of another one.
func (e RolloutEvidence) WithCounts(o RolloutEvidence) RolloutEvidence {
	e.Responses, e.Failures, e.Slow = max(e.Responses, o.Responses), max(e.Failures, o.Failures), max(e.Slow, o.Slow)
	return e
}

// WithUsualFailures returns a copy with the usual rate of failures of a route.
func (e RolloutEvidence) WithUsualFailures(route string, u UsualFailures) RolloutEvidence {
	e.UsualFailures = maps.Clone(e.UsualFailures)
	if e.UsualFailures == nil {
		e.UsualFailures = map[string]UsualFailures{}
	}
	e.UsualFailures[route] = u
	return e
}
