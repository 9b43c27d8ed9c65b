package hub

import "time"

const (
	// leastInterval is the time between the reports of an instance in a small fleet.
	leastInterval = 120 * time.Millisecond
	// mostInterval bounds it in a large one.
	mostInterval = time.Second
	// reportsPerCore is the number of reports that a core answers in a second while a tenth of it is used for that.
	reportsPerCore = 600.0
)

// Interval returns the time between the reports of an instance in a fleet of a size whose hub has a share of a core.
func Interval(nodes int, cores float64) time.Duration {
	if cores <= 0 {
		return mostInterval
	}
	d := time.Duration(float64(nodes) / (reportsPerCore * cores) * float64(time.Second))
	return max(leastInterval, min(mostInterval, d))
}
