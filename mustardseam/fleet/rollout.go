package fleet

import "time"

// ServiceRollout is an operator's order to move the traffic of a service to a version.
type ServiceRollout struct {
	Service  string
	Target   string        // Version that gets the traffic.
	Duration time.Duration // Time from the order to the deadline.
	Revision int64         // Store revision of the order; a later order has a higher one.
	Ordered  time.Time     // Time on the monotonic clock when this instance learned of the order.
}

// Progress is the current decision of the controller of a rollout; it is persisted in the store.
type Progress struct {
	Target string  `json:"target"`
	Order  int64   `json:"order"` // Store revision of the order that the progress belongs to.
	Share  float64 `json:"share"` // The target version's share of the traffic, 0 to 1.
	State  State   `json:"state"`
}

// State is the state of a rollout as shown to operators.
type State string

// The states of a rollout.
const (
	InProgress State = "in-progress"
	Complete   State = "complete"
	RolledBack State = "rolled-back"
)
