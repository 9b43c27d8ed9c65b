package entry

import (
	"errors"
	"time"
)

// partitionTimeout is how long unresponsive instances are assumed to be cut off from this one and to go on serving callers.
// Instances that have been without power for longer have been replaced or are gone.
const partitionTimeout = 15 * time.Second

// partition records a possible network partition. The zero value means none.
type partition struct {
	instanceCount int       // Number of all instances known before the partition, this one included.
	since         time.Time // When the partition was detected.
}

// afterFailure returns the state after a failed report. An instance that refuses or closes the connection is known to be
// down. One that does not answer may be cut off and still send to the same backend servers, together with all other
// instances that were known.
func (p partition) afterFailure(now time.Time, err error, known int) partition {
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return partition{}
	}
	if p.instanceCount > 0 {
		return p
	}
	return partition{instanceCount: known, since: now}
}

// count returns the number of instances that may be running on both sides of the partition; 0 without a partition.
func (p partition) count(now time.Time) int {
	if now.Sub(p.since) > partitionTimeout {
		return 0
	}
	return p.instanceCount
}
