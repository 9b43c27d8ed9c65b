package fleet

import "time"

// QuotaSnapshot is a snapshot of the teams' quota levels, read by instances that start after all others were lost.
type QuotaSnapshot struct {
	At     time.Time          // Wall clock time of the instance that wrote the snapshot.
	Levels map[string]float64 // Level by team, in the units of the team's quota.
}
