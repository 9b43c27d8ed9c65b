package settings

import "time"

// Platform says how to reach the platform's list of instances.
type Platform struct {
	Address      string        `json:"address" yaml:"address"`
	PollInterval time.Duration `json:"poll"    yaml:"poll"` // Time between two reads of the list.
}
