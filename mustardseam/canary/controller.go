package canary

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// canaryShareFactor is the fraction of maxCanaryShare that an unproven version gets; the rest is a margin.
	canaryShareFactor = 0.8
	// unprovenAcceptAfter is the fraction of the time to the deadline after which a version without a bad verdict gets all
	// traffic.
	unprovenAcceptAfter = 0.55
	// provenAcceptAfter is the fraction of the time to the deadline after which a version with a good verdict gets all
	// traffic: faults often appear only after some time or under load.
	provenAcceptAfter = 0.35
	// minFullTraffic is the least time for which a version receives all traffic before the rollout is complete, so that
	// faults under load appear while the old version still runs.
	minFullTraffic = 1500 * time.Millisecond
	// forceCompletionAfter is the fraction of the time to the deadline after which the rollout is completed although
	// requests still run on the old version.
	forceCompletionAfter = 0.95
	// falseRollbackBound bounds the probability that a good version is rolled back. It is larger than the default of
	// rollout.Analyzer because a rollout has little time.
	falseRollbackBound = 0.01
	// minSamples is the number of responses that a version needs to be accepted without a good verdict.
	minSamples = 5
	// maxFailureRatio is the ratio of failures, among possibly few responses, from which a version that has no good verdict
	// by unprovenAcceptAfter is rolled back.
	maxFailureRatio = 0.3
)

// FleetState holds the state of the fleet that a controller needs for its decisions.
type FleetState struct {
	ReadyServers       int // Number of ready backend servers of the new version.
	OldVersionRequests int // Number of requests that run on the old version.
}

// Controller controls the rollouts of one service; it is not safe for concurrent use.
type Controller struct {
	maxCanaryShare float64                      // Share of requests that a version may get before it is known to be good.
	orderRevision  int64                        // Store revision of the current order; 0 before the first.
	target         string                       // Target version of the current order.
	analyzers      map[string]*rollout.Analyzer // Analyzers by route; the empty name stands for all routes together.
	targetSamples  int                          // Number of responses of the target version.
	targetFailures int                          // Number of failed responses of the target version.
	fullSince      time.Time                    // Time since which the target version gets all traffic; zero before.
}

// New returns a controller; maxCanaryShare is the share of requests that a version may get before it is known to be good.
func New(maxCanaryShare float64) *Controller { return &Controller{maxCanaryShare: maxCanaryShare} }

// Observe records the outcome of a request to the service.
func (c *Controller) Observe(now time.Time, route string, s rollout.Sample) {
	if c.analyzers == nil {
		return
	}
	for _, name := range []string{"", route} {
		analyzer := c.analyzers[name]
		if analyzer == nil {
			// The control is the empty version, to which all versions but the target are mapped below.
			analyzer = rollout.NewAnalyzer(rollout.AnalyzerConfig{Route: name, Old: "", New: c.target, Alpha: falseRollbackBound})
			c.analyzers[name] = analyzer
		}
		relabeled := s
		if relabeled.Version != c.target {
			relabeled.Version = ""
		}
		analyzer.Observe(now, relabeled)
	}
	if s.Version == c.target {
		c.targetSamples++
		if !s.OK {
			c.targetFailures++
		}
	}
}

// Next returns the next progress of a rollout with the current progress p, and whether it differs from p.
func (c *Controller) Next(now time.Time, r fleet.ServiceRollout, p fleet.Progress, state FleetState) (fleet.Progress, bool) {
	if c.orderRevision != r.Revision && c.orderRevision == p.Order && c.target == r.Target && p.BelongsTo(r) {
		c.orderRevision = r.Revision // The order was written again after the store was restored.
	}
	if c.orderRevision != r.Revision {
		*c = Controller{
			maxCanaryShare: c.maxCanaryShare, orderRevision: r.Revision, target: r.Target, analyzers: map[string]*rollout.Analyzer{},
		}
	}
	if !p.BelongsTo(r) {
		return fleet.Progress{
			Target: r.Target, Order: r.Revision, Era: r.Era, Share: canaryShareFactor * c.maxCanaryShare, State: fleet.InProgress,
		}, true
	}
	if p.Order != r.Revision {
		p.Order, p.Era = r.Revision, r.Era
		return p, true
	}
	if p.State != fleet.InProgress {
		return p, false
	}
	elapsed := float64(now.Sub(r.Ordered)) / float64(r.Duration)
	if c.anyRouteBad(now) {
		p.State, p.Share = fleet.RolledBack, 0
		return p, true
	}
	if p.Share < 1 {
		return c.decideAcceptance(now, p, elapsed, state)
	}
	if c.fullSince.IsZero() {
		c.fullSince = now
	}
	if now.Sub(c.fullSince) >= minFullTraffic && (state.OldVersionRequests == 0 || elapsed >= forceCompletionAfter) {
		p.State = fleet.Complete
		return p, true
	}
	return p, false
}

// decideAcceptance gives a version all traffic when its verdict is good, or when it had no bad verdict for long enough. In
// the latter case, a version with a failure ratio of maxFailureRatio or more is rolled back instead. Otherwise the progress
// stays the same.
func (c *Controller) decideAcceptance(
	now time.Time, p fleet.Progress, elapsed float64, state FleetState,
) (fleet.Progress, bool) {
	switch {
	case state.ReadyServers == 0:
		return p, false
	case elapsed >= provenAcceptAfter && c.analyzers[""] != nil && c.analyzers[""].Verdict(now).Decision == rollout.Good:
	case elapsed >= unprovenAcceptAfter && c.targetSamples >= minSamples:
		if float64(c.targetFailures) >= maxFailureRatio*float64(c.targetSamples) {
			p.State, p.Share = fleet.RolledBack, 0
			return p, true
		}
	default:
		return p, false
	}
	p.Share, c.fullSince = 1, now
	return p, true
}

// anyRouteBad reports whether the verdict of any route, or of all routes together, is bad.
func (c *Controller) anyRouteBad(now time.Time) bool {
	for _, analyzer := range c.analyzers {
		if analyzer.Verdict(now).Decision == rollout.Bad {
			return true
		}
	}
	return false
}

// Evidence returns what is known of the target version.
func (c *Controller) Evidence(now time.Time) Evidence {
	e := Evidence{Samples: c.targetSamples, Failures: c.targetFailures}
	for route, analyzer := range c.analyzers {
		s := analyzer.Summary(now)
		if route == "" {
			e.Summary = s
		} else if s.Against > e.RouteAgainst {
			e.WorstRoute, e.RouteAgainst = route, s.Against
		}
	}
	return e
}
