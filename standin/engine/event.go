package engine

// Event is a cache event as GET /cache-events publishes it.
type Event struct {
	Number  uint64 `json:"number"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}
