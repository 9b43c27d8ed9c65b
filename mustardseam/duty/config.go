package duty

import "time"

// Config holds the identity of an instance and the lifetime of the lease.
type Config struct {
	Instance string        // Name of the instance.
	Run      int64         // Random id of this run of the process.
	TTL      time.Duration // Lifetime of the lease on the record.
	Start    time.Duration // Start of the process, on the boot clock.
}

const (
	// candidateStep is the time between two candidates' attempts to acquire a vacant record. It covers the two calls of an
	// attempt, so that the next candidates usually see the new record first.
	candidateStep = 150 * time.Millisecond
	// maxCandidateDelay bounds the delay of the last candidates of a large fleet.
	maxCandidateDelay = 10 * time.Second
	// retryDelay is the time from a failed attempt to acquire the record to the next one, to which the delay of the candidate is
	// added, and between two writes of an attempt without an answer.
	retryDelay = 500 * time.Millisecond
	// maxRenewals bounds the renewals that have no answer yet.
	maxRenewals = 4
	// minMargin and marginShare determine how long before the lease may end the right to act ends. The margin covers a call
	// that is sent at the last moment.
	minMargin   = 100 * time.Millisecond
	marginShare = 10
	// renewalsPerTTL is the number of renewals in the lifetime of the lease, so that two may be lost.
	renewalsPerTTL = 3
)

// margin returns how long before the lease may end the right to act ends.
func (c Config) margin() time.Duration { return max(minMargin, c.TTL/marginShare) }

// renewInterval returns the time from a successful renewal to the next one.
func (c Config) renewInterval() time.Duration { return c.TTL / renewalsPerTTL }

// renewRetryInterval returns the time from a renewal without an answer to the next one. It is shorter than the interval, so
// that the lease is renewed soon after an outage of the store.
func (c Config) renewRetryInterval() time.Duration { return min(c.renewInterval(), retryDelay) }
