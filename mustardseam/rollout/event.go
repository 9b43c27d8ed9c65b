package rollout

import "time"

// The kinds of events.
const (
	StartedEvent     = "started"
	AdvancedEvent    = "advanced"
	RescheduledEvent = "rescheduled"
	DoneEvent        = "done"
	RolledBackEvent  = "taken-back"
	LateEvent        = "late"
)

// Event is an entry in the history of a record.
type Event struct {
	Time time.Time `json:"time"`
	Kind string    `json:"kind"` // One of the event kinds of this package.
	Text string    `json:"text"`
}
