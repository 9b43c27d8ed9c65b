package canary

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// maxBadResponses is the number of responses of a version without a good verdict that may fail, more than those of a version
	// that is well, or be slower than usual. No request may reach a version long after its 50th bad response; the rest is a margin
	// for requests that have not ended.
	maxBadResponses = 40
	// maxExcessFailures is the number of failures beyond the usual rate while the old version is well, under any verdict.
	maxExcessFailures = 20
	// holdBadResponses is the number of such responses from which a version gets no requests while the old version is disturbed.
	holdBadResponses = 25
	// maxOverLimitDoubt is the log-likelihood ratio of a bad version up to which such a version goes on.
	maxOverLimitDoubt = -1
	// overLimitTime is how long a version with maxBadResponses may go on to prove that a disturbance was the reason. It is shorter
	// than the time after its 50th bad response in which requests may reach a bad version.
	overLimitTime = 4 * time.Second
)

// isFailing reports whether at least n responses were bad, and more than the failures of a version that is well explain.
func (c *Controller) isFailing(now time.Time, n int) bool {
	total := c.counts(now)
	usual, known := c.failureBaseline("").Rate()
	return total.Bad() >= n && (!known || rollout.ExceedsRate(float64(total.Bad()), float64(total.Responses), usual))
}

// held reports whether a version gets no requests because the old version is disturbed and the version already had many bad
// responses, of which nobody knows the reason.
func (c *Controller) held(now time.Time) bool {
	all := c.analyzers[""]
	return all != nil && c.isFailing(now, holdBadResponses) && all.ControlDisturbed()
}

// tooManyBad reports whether so many responses failed or were slower than usual that a version must not go on: under any verdict
// while the old version is well. If a disturbance of all versions may be the reason, the version has overLimitTime to show it.
func (c *Controller) tooManyBad(now time.Time) bool {
	all := c.analyzers[""]
	switch {
	case all == nil:
		return false
	case c.counts(now).Excess >= maxExcessFailures:
		return true
	case !c.isFailing(now, maxBadResponses) || all.Verdict(now).Decision == rollout.Good || all.Summary(now).Doubt <= maxOverLimitDoubt:
		c.overLimit = time.Time{}
		return false
	case c.overLimit.IsZero():
		c.overLimit = now
	}
	return now.Sub(c.overLimit) >= overLimitTime
}
