package fleet

import "time"

// Rollout is an order to move the traffic of a service to a version.
type Rollout struct {
	Service  string
	Target   string
	Duration time.Duration // From the order to the deadline.
	Revision int64         // Of the order; a later order has a higher one.
	Ordered  time.Time     // Steady clock; when this instance learned of it.
}

// Progress is what the conductor of a rollout has decided; it lasts in the store.
type Progress struct {
	Target string  `json:"target"`
	Order  int64   `json:"order"` // Revision of the order that it is about.
	Share  float64 `json:"share"` // Of the target in the traffic, 0 to 1.
	State  State   `json:"state"`
}

// State is the state of a rollout that operators see.
type State string

// The states of a rollout.
const (
	InProgress State = "in-progress"
	Complete   State = "complete"
	RolledBack State = "rolled-back"
)
