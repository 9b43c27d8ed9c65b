package settings

import "time"

// Store says how to reach the platform's key-value store.
type Store struct {
	Addresses []string      `json:"addresses" yaml:"addresses"`
	Prefix    string        `json:"prefix"    yaml:"prefix"`  // Put before every key.
	Timeout   time.Duration `json:"timeout"   yaml:"timeout"` // Of one call.
}
