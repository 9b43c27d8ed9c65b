package operator

import "time"

// Route maps a model name, or a path segment under /services/, to a pool and a version.
type Route struct {
	Name          string   `json:"name"                      yaml:"name"`
	Pool          string   `json:"pool"                      yaml:"pool"`
	Version       string   `json:"version"                   yaml:"version"`
	NonIdempotent bool     `json:"non-idempotent,omitempty"  yaml:"non-idempotent,omitempty"`  // Calls must not be repeated.
	Timeout       float64  `json:"timeout-seconds,omitempty" yaml:"timeout-seconds,omitempty"` // Timeout of calls in seconds; 0 means that only the instance's limit applies.
	Rollout       *Rollout `json:"rollout,omitempty"         yaml:"rollout,omitempty"`         // Rollout to another version; nil when there is none.
}

func (r Route) key() string { return r.Name }

func (r Route) clone() Route {
	if r.Rollout != nil {
		rollout := *r.Rollout
		r.Rollout = &rollout
	}
	return r
}

// WithVersion returns a copy of the route with the given version, from which a rollout starts.
func (r Route) WithVersion(version string) Route {
	r.Version = version
	return r
}

// WithNonIdempotent returns a copy of the route that is marked as non-idempotent or not; calls of a non-idempotent
// route must not be repeated.
func (r Route) WithNonIdempotent(nonIdempotent bool) Route {
	r.NonIdempotent = nonIdempotent
	return r
}

// WithTimeout returns a copy of the route with the given timeout for calls; with 0 only the instance's limit applies.
func (r Route) WithTimeout(timeout time.Duration) Route {
	r.Timeout = timeout.Seconds()
	return r
}

// WithRollout returns a copy of the route with the given rollout to another version.
func (r Route) WithRollout(rollout Rollout) Route {
	r.Rollout = &rollout
	return r
}

// WithoutRollout returns a copy of the route without a rollout.
func (r Route) WithoutRollout() Route {
	r.Rollout = nil
	return r
}
