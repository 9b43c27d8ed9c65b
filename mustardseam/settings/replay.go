package settings

// Replay bounds the answers that are kept for retries with the same idempotency key.
type Replay struct {
	MaxBytes int `json:"bytes" yaml:"bytes"` // Maximum memory for the answers in bytes; 0 keeps none.
}
