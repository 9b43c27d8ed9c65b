package peer

// HomeRef names the home of a pool.
type HomeRef struct {
	Epoch   uint64 `json:"epoch"`
	Home    string `json:"home"` // Incarnation.
	Address string `json:"address"`
}
