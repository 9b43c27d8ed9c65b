package operator

import "time"

// Rollout moves the traffic of a route from its version to another one until a deadline.
type Rollout struct {
	ID          string    `json:"id"                   yaml:"id"`
	To          string    `json:"to"                   yaml:"to"`           // Version that the rollout moves traffic to.
	CanaryShare float64   `json:"canary-share"         yaml:"canary-share"` // First share of requests for the new version, 0 to 1.
	Start       time.Time `json:"start"                yaml:"start"`
	Deadline    time.Time `json:"deadline"             yaml:"deadline"`
	Supersedes  string    `json:"supersedes,omitempty" yaml:"supersedes,omitempty"` // ID of the running rollout that this one replaces; empty when there is none.
}

// DefaultCanaryShare is the first share of requests for a new version when a document sets none.
const DefaultCanaryShare = 0.01

// RolloutConfig describes a rollout by its start and its maximum duration.
type RolloutConfig struct {
	ID         string // ID that was never used before, because a rollback of an ID is final.
	To         string // Version that the rollout moves traffic to.
	Start      time.Time
	Within     time.Duration // Time from Start to the deadline.
	Supersedes string        // ID of the running rollout that this one replaces; empty when there is none.
}

// NewRollout returns a rollout with the default canary share.
func NewRollout(cfg RolloutConfig) Rollout {
	return Rollout{
		ID: cfg.ID, To: cfg.To, CanaryShare: DefaultCanaryShare, Start: cfg.Start, Deadline: cfg.Start.Add(cfg.Within),
		Supersedes: cfg.Supersedes,
	}
}

// WithCanaryShare returns a copy of the rollout with the given first share of requests, 0 to 1.
func (r Rollout) WithCanaryShare(share float64) Rollout {
	r.CanaryShare = share
	return r
}

// WithWindow returns a copy of the rollout that starts and must be complete at the given times.
func (r Rollout) WithWindow(start, deadline time.Time) Rollout {
	r.Start = start
	r.Deadline = deadline
	return r
}

// WithSupersedes returns a copy of the rollout that replaces the running rollout with the given ID.
func (r Rollout) WithSupersedes(id string) Rollout {
	r.Supersedes = id
	return r
}
