package peer

// ConsentRequest asks a candidate to consent not to take over the pool for the given time.
type ConsentRequest struct {
	Proto  Proto  `json:"proto"`
	Pool   string `json:"pool"`
	Epoch  uint64 `json:"epoch"`
	From   string `json:"from"`    // Incarnation of the sender.
	HoldMS int64  `json:"hold-ms"` // Duration of the consent in milliseconds.
}
