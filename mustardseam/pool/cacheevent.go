package pool

// CacheEvent reports that a backend server stored or evicted a prefix cache block.
type CacheEvent struct {
	Server  string `json:"server"`
	Block   uint64 `json:"block"` // Chained hash of the block.
	Evicted bool   `json:"evicted"`
}
