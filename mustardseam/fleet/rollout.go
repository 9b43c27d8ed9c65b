package fleet

import "time"

// ServiceRollout is an operator's order to move the traffic of a service to a version.
type ServiceRollout struct {
	Service  string
	Target   string        // Version that gets the traffic.
	Duration time.Duration // Time from the order to the deadline.
	Revision int64         // Store revision of the order; a later order of the same era has a higher one.
	Era      int64         // Era of the store in which the order became known.
	Ordered  time.Time     // Time on the monotonic clock when this instance learned of the order.
}

// Progress is the current decision of the controller of a rollout; it is persisted in the store.
type Progress struct {
	Target string  `json:"target"`
	Order  int64   `json:"order"` // Store revision of the order that the progress belongs to.
	Era    int64   `json:"era"`   // Era of Order.
	Share  float64 `json:"share"` // The target version's share of the traffic, 0 to 1.
	State  State   `json:"state"`
	// Ordered is the time of day at which the order became known; zero if it is not known.
	Ordered  time.Time       `json:"ordered,omitzero"`
	Evidence RolloutEvidence `json:"evidence,omitzero"` // What is known of the target version.
}

// BelongsTo reports whether the progress is that of an order. An order with the same target in a later era of the store is the
// same one: it was lost when the store was restored, and has been written again. Until then its revision is 0.
func (p Progress) BelongsTo(r ServiceRollout) bool {
	return p.Target == r.Target && (p.Order == r.Revision || p.Order == 0 || p.Era < r.Era)
}

// State is the state of a rollout as shown to operators.
type State string

// The states of a rollout.
const (
	InProgress State = "in-progress"
	Complete   State = "complete"
	RolledBack State = "rolled-back"
)
