package settings

import "time"

// Store configures the access to the platform's key-value store.
type Store struct {
	Addresses []string      `json:"addresses" yaml:"addresses"` // IP:port of each member of the store.
	Prefix    string        `json:"prefix"    yaml:"prefix"`    // Prepended to every key.
	Timeout   time.Duration `json:"timeout"   yaml:"timeout"`   // Timeout of one call.
}
