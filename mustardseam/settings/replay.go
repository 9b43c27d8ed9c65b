package settings

// Replay bounds the answers that are kept for retries of a request with the same idempotency key.
type Replay struct {
	MaxBytes int `json:"bytes" yaml:"bytes"` // Memory; 0 keeps none.
}
