package peer

// ConsentRequest asks a candidate to promise that it will not take the pool over for the given time.
type ConsentRequest struct {
	Proto  Proto  `json:"proto"`
	Pool   string `json:"pool"`
	Epoch  uint64 `json:"epoch"`
	From   string `json:"from"`
	HoldMS int64  `json:"hold-ms"`
}
