package settings

import "time"

// Platform configures the access to the platform's list of instances.
type Platform struct {
	Address      string        `json:"address" yaml:"address"` // IP:port of the platform.
	PollInterval time.Duration `json:"poll"    yaml:"poll"`    // Interval between reads of the list.
}
