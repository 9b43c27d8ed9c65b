package hub

import "time"

const (
	// intervalBase and intervalPerNode make the time between reports grow with the fleet, so that a hub gets at most some
	// 150 reports a second, which take about 4 % of a core.
	intervalBase    = 120 * time.Millisecond
	intervalPerNode = 6 * time.Millisecond
	intervalMax     = time.Second
)

// Interval returns the time between the reports of an instance in a fleet of a size.
func Interval(nodes int) time.Duration {
	return min(intervalMax, intervalBase+time.Duration(nodes)*intervalPerNode)
}
