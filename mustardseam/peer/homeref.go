package peer

// HomeRef identifies the home of a pool.
type HomeRef struct {
	Epoch   uint64 `json:"epoch"`
	Home    string `json:"home"` // Incarnation of the home.
	Address string `json:"address"`
}
