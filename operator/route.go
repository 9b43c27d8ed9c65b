package operator

import "time"

// Route maps a model name, or a path segment under /services/, to a pool and a version.
type Route struct {
	Name          string   `json:"name"                      yaml:"name"`
	Pool          string   `json:"pool"                      yaml:"pool"`
	Version       string   `json:"version"                   yaml:"version"`
	NonIdempotent bool     `json:"non-idempotent,omitempty"  yaml:"non-idempotent,omitempty"`
	Timeout       float64  `json:"timeout-seconds,omitempty" yaml:"timeout-seconds,omitempty"`
	Rollout       *Rollout `json:"rollout,omitempty"         yaml:"rollout,omitempty"`
}

func (r Route) key() string { return r.Name }

func (r Route) clone() Route {
	if r.Rollout != nil {
		rollout := *r.Rollout
		r.Rollout = &rollout
	}
	return r
}

// WithVersion returns a copy of the route whose settled version is the named one.
func (r Route) WithVersion(version string) Route {
	r.Version = version
	return r
}

// WithNonIdempotent returns a copy of the route whose calls may or may not be repeated.
func (r Route) WithNonIdempotent(nonIdempotent bool) Route {
	r.NonIdempotent = nonIdempotent
	return r
}

// WithTimeout returns a copy of the route whose calls may take that long; 0 leaves only the instance's limit.
func (r Route) WithTimeout(timeout time.Duration) Route {
	r.Timeout = timeout.Seconds()
	return r
}

// WithRollout returns a copy of the route that moves to another version.
func (r Route) WithRollout(rollout Rollout) Route {
	r.Rollout = &rollout
	return r
}

// WithoutRollout returns a copy of the route that moves to no other version.
func (r Route) WithoutRollout() Route {
	r.Rollout = nil
	return r
}
