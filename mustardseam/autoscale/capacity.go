package autoscale

import (
	"math"
	"slices"
	"sort"
)

const (
	// staffingMargin is the number of standard deviations of the slots in use that are kept free. The slots in use at a
	// random arrival of requests have a variance of about their mean, so that two deviations leave about one request in 40
	// to wait.
	staffingMargin = 2.0
	// calibrationSamples and minCalibrationSamples bound the samples from which the calibration follows.
	calibrationSamples    = 15
	minCalibrationSamples = 5
	// calibrationDelay is the number of samples after the first request that are not used: requests that have begun do more
	// work in that time than those that have ended show.
	calibrationDelay = 3
	// maxCalibration bounds the calibration and its inverse.
	maxCalibration = 2.5
)

// capacity is what the backend servers of a service can do.
type capacity struct {
	perServer float64   // Mean units of work per second of a backend server; 0 when unknown.
	slots     float64   // Mean slots of a backend server.
	sorted    []float64 // Units of work per second of the backend servers, highest first.
	running   int       // Requests at all backend servers.
}

// newCapacity returns the capacity of backend servers. Draining ones are left out; those of unknown speed count as average.
func newCapacity(servers []Server) capacity {
	var c capacity
	var slots, known int
	var total float64
	for _, s := range servers {
		c.running += s.Running
		if s.Draining {
			continue
		}
		slots += max(1, s.Slots)
		// A cold backend server is slow for the moment only, and the speed of a crashed one is that before the crash.
		if u := s.capacity(); u > 0 && !s.Cold {
			known++
			total += u
		}
		c.sorted = append(c.sorted, s.capacity())
	}
	if known == 0 {
		return capacity{running: c.running}
	}
	c.perServer = total / float64(known)
	c.slots = float64(slots) / float64(len(c.sorted))
	for i, u := range c.sorted {
		if u == 0 {
			c.sorted[i] = c.perServer
		}
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(c.sorted)))
	return c
}

// serversFor returns the number of backend servers for a load in units of work per second.
func (c capacity) serversFor(load float64) int {
	inUse := load / c.perServer * c.slots
	return int(math.Ceil((inUse + staffingMargin*math.Sqrt(inUse)) / c.slots))
}

// removable returns how many of n backend servers can be removed so that the others can do a load with the staffing margin.
// The platform chooses which ones leave, so the fastest are assumed to.
func (c capacity) removable(n int, load float64) int {
	need := float64(c.serversFor(load)) * c.perServer
	rest := 0.0
	for _, u := range c.sorted {
		rest += u
	}
	removed := 0
	for removed < n && removed < len(c.sorted) && rest-c.sorted[removed] >= need {
		rest -= c.sorted[removed]
		removed++
	}
	return removed
}

// calibration returns the ratio of the work that backend servers did to the work that was expected of the requests sent to
// them. It corrects the expectation for prompts and for callers' wrong hints, and is 1 until there are enough samples.
func calibration(samples []sample) float64 {
	skip := min(calibrationDelay, len(samples))
	usable := slices.DeleteFunc(slices.Clone(samples[skip:]), func(s sample) bool { return !s.undamaged })
	usable = usable[max(0, len(usable)-calibrationSamples):]
	var done, started float64
	for _, s := range usable {
		done += s.workRate * s.seconds
		started += s.started
	}
	if len(usable) < minCalibrationSamples || started <= 0 || done <= 0 {
		return 1
	}
	return max(1/maxCalibration, min(maxCalibration, done/started))
}
