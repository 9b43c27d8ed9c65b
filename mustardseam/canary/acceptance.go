package canary

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// maxLateDoubt is the evidence against a version on a route, a likelihood ratio, up to which the version is accepted then.
	maxLateDoubt = 2
	// maxSlowRatio is the ratio of responses on a route that may be slower than usual then.
	maxSlowRatio = 2. / 3
	// lateFalseAcceptBound bounds the probability that a bad version is accepted after lenientAfter; before, it is the default
	// of rollout.Analyzer.
	lateFalseAcceptBound = 0.05
	// minRouteSamples is the number of responses of a version that each route in use needs before the version is accepted.
	minRouteSamples = 3
	// minRouteShare is the share of the old version's responses from which a route is in use.
	minRouteShare = 0.1
)

// good reports whether the verdict of all routes together is good and no route in use lacks responses or speaks against it.
func (c *Controller) good(now time.Time, elapsed float64) bool {
	all := c.analyzers[""]
	if all == nil || all.Verdict(now).Decision != rollout.Good && (elapsed < lenientAfter || !all.Passes(now, lateFalseAcceptBound)) {
		return false
	}
	control := float64(all.Summary(now).Control)
	for route, analyzer := range c.analyzers {
		s := analyzer.Summary(now)
		if route == "" || float64(s.Control) < minRouteShare*control {
			continue
		}
		doubt := s.Against > maxLateDoubt || float64(s.Slow) > maxSlowRatio*float64(s.Samples)
		if s.Samples < minRouteSamples || s.Doubtful && (elapsed < lenientAfter || doubt) {
			return false
		}
	}
	return true
}

// doubtful reports whether the version, which gets all traffic, is worse on any route than is usual.
func (c *Controller) doubtful() bool {
	for _, analyzer := range c.analyzers {
		if analyzer.CandidateDoubtful(c.fullSince) {
			return true
		}
	}
	return false
}
