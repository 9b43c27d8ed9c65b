package hub

import "time"

const (
	// minInterval is the report interval of an instance in a small fleet.
	minInterval = 120 * time.Millisecond
	// maxInterval bounds the report interval in a large fleet.
	maxInterval = time.Second
	// reportsPerCore is the number of reports a second that a core handles at a utilization of 10 %.
	reportsPerCore = 600.0
)

// ReportInterval returns the report interval of each instance in a fleet with the given number of instances whose hub has
// the given share of a core. It grows with the fleet so that reports take a tenth of the hub's processor time.
func ReportInterval(instances int, cores float64) time.Duration {
	if cores <= 0 {
		return maxInterval
	}
	d := time.Duration(float64(instances) / (reportsPerCore * cores) * float64(time.Second))
	return max(minInterval, min(maxInterval, d))
}
