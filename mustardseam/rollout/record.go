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

// Record is the durable state of a rollout, the JSON value of its store key.
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

// Event is an entry of a record's history.
type Event struct {
	Time time.Time `json:"time"`
	Kind string    `json:"kind"`
	Text string    `json:"text"`
}

// NewRecord returns the record of the route's rollout at its first step; the route must have a rollout.
func NewRecord(now time.Time, r operator.Route) Record { return Record{} }

// Open reports whether the rollout still runs.
func (r Record) Open() bool { return r.State == Running || r.State == Late }

// Plan returns the schedule of the rollout.
func (r Record) Plan() Plan { return Plan{} }

// Advance returns the record after a verdict and whether it changed: one step further, done, or taken back.
func Advance(now time.Time, r Record, v Verdict) (Record, bool) { return r, false }

// TakeBack returns the record of a rollout that is taken back and whether it changed.
func TakeBack(now time.Time, r Record, reason string) (Record, bool) { return r, false }

// MarkLate returns the record with the state late once its deadline has passed, and whether it changed.
func MarkLate(now time.Time, r Record) (Record, bool) { return r, false }
