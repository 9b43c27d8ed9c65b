package rollout

import "time"

// Kind says what an event of a record is about.
type Kind string

// The kinds of events.
const (
	Started        Kind = "started"
	Advanced       Kind = "advanced"
	Rescheduled    Kind = "rescheduled"
	DoneEvent      Kind = "done"
	TakenBackEvent Kind = "taken-back"
	LateEvent      Kind = "late"
)

// Event is an entry of a record's history.
type Event struct {
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	Text string    `json:"text"`
}
