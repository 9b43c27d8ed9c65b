package pool

// CacheEvent says that a backend server stored or evicted the block of a prefix.
type CacheEvent struct {
	Server  string `json:"server"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}
