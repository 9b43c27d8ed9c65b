package entry

import (
	"slices"
	"time"
)

const (
	// recentDurationCount is the number of durations that are kept.
	recentDurationCount = 64
	// minDurations is the number of durations from which on they describe the usual ones.
	minDurations = 8
	// minStreams is the number of streams from which on they bound the pace of the next one. Backend servers of a route differ in
	// speed, so that a few streams may all have met fast ones.
	minStreams = recentDurationCount
	// durationSlack is added to the durations of the past to bound the next one.
	durationSlack = 250 * time.Millisecond
)

// recentDurations holds the latest durations of similar requests.
type recentDurations struct {
	ring []time.Duration
	next int
}

// durationSummary describes recent durations.
type durationSummary struct {
	median, longest time.Duration
	known           bool // There are enough durations.
}

// bound returns a duration within which the next request can be expected to end.
func (s durationSummary) bound() time.Duration { return s.highest() + durationSlack }

// highest returns a duration that the next one can be expected not to exceed, without the allowance for the time of a request.
func (s durationSummary) highest() time.Duration { return 2*s.longest - s.median }

// add adds a duration and drops the oldest one if there are too many.
func (r *recentDurations) add(d time.Duration) {
	if len(r.ring) < recentDurationCount {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % recentDurationCount
}

// summary returns the summary of the durations, which is unknown if there are fewer than least.
func (r *recentDurations) summary(least int) durationSummary {
	if len(r.ring) < least {
		return durationSummary{}
	}
	sorted := slices.Sorted(slices.Values(r.ring))
	return durationSummary{median: sorted[len(sorted)/2], longest: sorted[len(sorted)-1], known: true}
}
