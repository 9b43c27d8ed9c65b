package peer

// Ack acknowledges a message that has no other answer.
type Ack struct {
	Proto   Proto `json:"proto"`
	NotHome bool  `json:"not-home,omitempty"` // The receiver is not the home of the pool.
}
