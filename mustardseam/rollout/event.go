package rollout

import "time"

// Kind says what an event of a record is about.
type Kind string

// The kinds of events; a record has at most one of each step and one of each other kind.
const (
	Started        Kind = "started"
	Advanced       Kind = "advanced"
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
