package rollout

import "time"

// LoadBuckets is the number of load buckets; Sample.LoadBucket is clamped to the range from 0 to LoadBuckets-1.
const LoadBuckets = 8

// Sample is the outcome of one request on a route.
type Sample struct {
	Version string
	OK      bool
	// FirstToken is the time from dispatch to the first token or byte; 0 when there was none. An Analyzer only compares the
	// values with each other, so package entry uses the ratio to the usual time instead.
	FirstToken time.Duration
	InterToken time.Duration // Mean inter-token latency; 0 when there is none.
	LoadBucket int           // Load bucket of the backend server at dispatch; 0 is idle.
}
