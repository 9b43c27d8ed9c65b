package rollout

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// KeyPrefix is put before the id of a rollout to form the store key of its record.
const KeyPrefix = "rollouts/"

// Key returns the store key of a rollout's record.
func Key(id string) string { return KeyPrefix + id }

// State is the state of a rollout; it never leaves done or taken-back.
type State string

// The states of a rollout.
const (
	Running   State = "running"
	Late      State = "late" // Still running after its deadline.
	Done      State = "done"
	TakenBack State = "taken-back"
)

// Record is the durable state of a rollout, the JSON value of its store key. It is an immutable value: transitions
// return another one. It holds its own copy of the schedule; Reschedule replaces it by that of a newer document.
type Record struct {
	ID       string    `json:"id"`
	Route    string    `json:"route"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Canary   float64   `json:"canary-share"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	Step     int       `json:"step"`
	Share    float64   `json:"share"` // Of the step, 0 to 1; 0 when taken back.
	State    State     `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	Events   []Event   `json:"events"`
}

// NewRecord returns the record of the route's rollout at its first step; the route must have a rollout.
func NewRecord(now time.Time, r operator.Route) Record {
	o := r.Rollout
	rec := Record{
		ID: o.ID, Route: r.Name, From: r.Version, To: o.To, Canary: o.CanaryShare, Start: o.Start, Deadline: o.Deadline,
		Share: o.CanaryShare, State: Running,
	}
	return rec.with(now, StartedEvent, r.Version+" to "+o.To)
}

// Open reports whether the rollout still runs.
func (r Record) Open() bool { return r.State == Running || r.State == Late }

// Plan returns the schedule of the rollout.
func (r Record) Plan() Plan {
	return NewPlan(operator.Rollout{ID: r.ID, To: r.To, CanaryShare: r.Canary, Start: r.Start, Deadline: r.Deadline})
}

// with returns the record with one more event.
func (r Record) with(now time.Time, kind, text string) Record {
	events := make([]Event, len(r.Events), len(r.Events)+1)
	copy(events, r.Events)
	r.Events = append(events, Event{Time: now, Kind: kind, Text: text})
	return r
}
