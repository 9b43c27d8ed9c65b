package rollout

import "time"

// Loads is the number of load buckets; Sample.Load is clamped to 0 up to Loads-1.
const Loads = 8

// Sample is the outcome of one request of the route.
type Sample struct {
	Version string
	OK      bool
	First   time.Duration // From dispatch to the first token or byte; 0 when there was none.
	Between time.Duration // Mean time between tokens; 0 when there is none.
	Load    int           // Bucket of the backend server's load at dispatch, 0 for idle.
}
