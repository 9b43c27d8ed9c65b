package rollout

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// KeyPrefix is the prefix of the store keys of records; the ID of the rollout follows.
const KeyPrefix = "rollouts/"

// Key returns the store key of a rollout's record.
func Key(id string) string { return KeyPrefix + id }

// State is the state of a rollout; Done and RolledBack are final.
type State string

// The states of a rollout.
const (
	Running    State = "running"
	Late       State = "late" // Running after its deadline.
	Done       State = "done"
	RolledBack State = "taken-back" // Rolled back.
)

// Record is the persistent state of a rollout, stored as JSON under its key. It is an immutable value: transitions return
// a new one. It holds its own copy of the schedule; Reschedule replaces that with the schedule of a newer document.
type Record struct {
	ID       string    `json:"id"`
	Route    string    `json:"route"`
	From     string    `json:"from"`         // Old version.
	To       string    `json:"to"`           // New version.
	Canary   float64   `json:"canary-share"` // Share of the first step, 0 to 1.
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	Step     int       `json:"step"`  // Index of the current step, from 0.
	Share    float64   `json:"share"` // The new version's share at the step, 0 to 1; 0 when rolled back.
	State    State     `json:"state"`
	Reason   string    `json:"reason,omitempty"` // Reason of a rollback.
	Events   []Event   `json:"events"`
}

// NewRecord returns the record of a route's rollout at its first step; the route must have a rollout.
func NewRecord(now time.Time, r operator.Route) Record {
	o := r.Rollout
	rec := Record{
		ID: o.ID, Route: r.Name, From: r.Version, To: o.To, Canary: o.CanaryShare, Start: o.Start, Deadline: o.Deadline,
		Share: o.CanaryShare, State: Running,
	}
	return rec.with(now, StartedEvent, r.Version+" to "+o.To)
}

// InProgress reports whether the rollout is still in progress, before or after its deadline.
func (r Record) InProgress() bool { return r.State == Running || r.State == Late }

// Plan returns the schedule of the rollout.
func (r Record) Plan() Plan {
	return NewPlan(operator.Rollout{ID: r.ID, To: r.To, CanaryShare: r.Canary, Start: r.Start, Deadline: r.Deadline})
}

// with returns a copy of the record with an event appended.
func (r Record) with(now time.Time, kind, text string) Record {
	events := make([]Event, len(r.Events), len(r.Events)+1)
	copy(events, r.Events)
	r.Events = append(events, Event{Time: now, Kind: kind, Text: text})
	return r
}
