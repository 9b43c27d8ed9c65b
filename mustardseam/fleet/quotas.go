package fleet

import "time"

// Quotas is what the quotas of teams held at a time, for instances that start after the loss of all others.
type Quotas struct {
	At     time.Time          // Time of day of the instance that wrote it.
	Levels map[string]float64 // By team, in the units of its quota.
}
