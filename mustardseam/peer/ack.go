package peer

// Ack answers a message that needs no other answer.
type Ack struct {
	Proto   Proto `json:"proto"`
	NotHome bool  `json:"not-home,omitempty"` // The receiver is not the home of the pool.
}
