package canary

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// canaryShareFactor is the fraction of MaxCanaryShare that an unproven version gets; the rest is a margin.
	canaryShareFactor = 0.8
	// firstShareFactor is the factor on MaxCanaryShare for the first responses, of which a fault needs only few to show.
	firstShareFactor = 2
	// firstSamplesFactor is the fraction of ExtraRequests that the first responses may use; the rest is a margin.
	firstSamplesFactor = 0.8
	// firstShareUntil is the fraction of the time to the deadline after which the first responses are over in any case, as a
	// controller that takes over does not know the number of the earlier ones.
	firstShareUntil = 0.5
	// maxFirstSamples bounds the number of first responses.
	maxFirstSamples = 40
	// acceptAfter is the fraction of the time to the deadline after which a version with a good verdict gets all traffic: faults
	// often appear only after some time.
	acceptAfter = 0.55
	// lenientAfter is the fraction of the time to the deadline after which single routes need no responses in favour of a version
	// if there is no evidence against it: few responses of a good version on a route may seem bad under a disturbance.
	lenientAfter = 0.75
	// maxLateDoubt is the evidence against a version on a route, a likelihood ratio, up to which the version is accepted then.
	maxLateDoubt = 2
	// maxSlowRatio is the ratio of responses on a route that may be slower than usual then.
	maxSlowRatio = 2. / 3
	// rollBackUnprovenAfter is the fraction of the time to the deadline after which a version without a good verdict is rolled
	// back.
	rollBackUnprovenAfter = 0.97
	// minFullTraffic is the least time for which a version receives all traffic before the rollout is complete, so that
	// faults under load appear while the old version still runs.
	minFullTraffic = 1500 * time.Millisecond
	// forceCompletionAfter is the fraction of the time to the deadline after which the rollout is completed although
	// requests still run on the old version.
	forceCompletionAfter = 0.95
	// falseRollbackBound bounds the probability that a good version is rolled back. It is larger than the default of
	// rollout.Analyzer because a rollout has little time.
	falseRollbackBound = 0.01
	// routeRollbackBound is the same for each single route, of which there are several.
	routeRollbackBound = falseRollbackBound / 4
	// lateFalseAcceptBound bounds the probability that a bad version is accepted after lenientAfter; before, it is the default
	// of rollout.Analyzer.
	lateFalseAcceptBound = 0.05
	// maxClockAge is the factor on the duration of a rollout up to which its age by the time of day is believed.
	maxClockAge = 2
	// cutInterval is the time within which connections that a backend server ends count as one failure.
	cutInterval = 500 * time.Millisecond
	// maxBadResponses is the number of responses of a version without a good verdict that may fail or be slower than usual. No
	// request may reach a version long after its 50th bad response; the rest is a margin for requests that have not ended.
	maxBadResponses = 40
	// minRouteSamples is the number of responses of a version that each route in use needs before the version is accepted.
	minRouteSamples = 3
	// minRouteShare is the share of the old version's responses from which a route is in use.
	minRouteShare = 0.1
)

// FleetState holds the state of the fleet that a controller needs for its decisions.
type FleetState struct {
	ReadyServers       int // Number of ready backend servers of the new version.
	OldReadyServers    int // Number of ready backend servers of other versions.
	NewVersionRequests int // Number of requests that run on the new version.
	OldVersionRequests int // Number of requests that run on the old version.
}

// Config holds how many requests a version may get before it is known to be good.
type Config struct {
	MaxCanaryShare float64 // Share of all requests, from 0 to 1.
	ExtraRequests  float64 // Number of requests beside the share.
}

// Controller controls the rollouts of one service; it is not safe for concurrent use.
type Controller struct {
	cfg            Config
	baseline       rollout.Baseline                // Usual latencies of the service, from before the current order.
	active         bool                            // The current rollout is in progress.
	orderRevision  int64                           // Store revision of the current order; 0 before the first.
	target         string                          // Target version of the current order.
	analyzers      map[string]*rollout.Analyzer    // Analyzers by route; the empty name stands for all routes together.
	cuts           map[fleet.Incarnation]time.Time // When a cut of a backend server was last counted.
	targetFailures int                             // Number of failed responses of the target version.
	tookOver       bool                            // Another controller has made the first decision.
	fullSince      time.Time                       // Time since which the target version gets all traffic; zero before.
}

// New returns a controller without a rollout.
func New(cfg Config) *Controller { return &Controller{cfg: cfg} }

// Observe records the outcome of a request to the service.
func (c *Controller) Observe(now time.Time, route string, s rollout.Sample) {
	if !c.active {
		c.baseline.Add(s)
		return
	}
	for _, name := range []string{"", route} {
		analyzer := c.analyzers[name]
		if analyzer == nil {
			// The control is the empty version, to which all versions but the target are mapped below.
			alpha := falseRollbackBound
			if name != "" {
				alpha = routeRollbackBound
			}
			analyzer = rollout.NewAnalyzer(rollout.AnalyzerConfig{
				Route: name, Old: "", New: c.target, Alpha: alpha, Baseline: &c.baseline,
			})
			c.analyzers[name] = analyzer
		}
		relabeled := s
		if relabeled.Version != c.target {
			relabeled.Version = ""
		}
		analyzer.Observe(now, relabeled)
	}
	if s.Version == c.target && !s.OK {
		c.targetFailures++
	}
}

// ObserveCut records that a backend server ended the connection of a request. Those that end within cutInterval are one
// failure, since one crash ends all of them.
func (c *Controller) ObserveCut(now time.Time, route, version string, server fleet.Incarnation) {
	if !c.active || now.Sub(c.cuts[server]) < cutInterval {
		return
	}
	c.cuts[server] = now
	c.Observe(now, route, rollout.Sample{Version: version})
}

// Next returns the next progress of a rollout with the current progress p, and whether it differs from p.
func (c *Controller) Next(now time.Time, r fleet.ServiceRollout, p fleet.Progress, state FleetState) (fleet.Progress, bool) {
	if c.orderRevision != r.Revision && c.orderRevision == p.Order && c.target == r.Target && p.BelongsTo(r) {
		c.orderRevision = r.Revision // The order was written again after the store was restored.
	}
	if c.orderRevision != r.Revision || c.target != r.Target {
		*c = Controller{
			cfg: c.cfg, baseline: c.baseline, tookOver: p.BelongsTo(r), orderRevision: r.Revision, target: r.Target,
			analyzers: map[string]*rollout.Analyzer{}, cuts: map[fleet.Incarnation]time.Time{},
		}
	}
	c.active = !p.BelongsTo(r) || p.State == fleet.InProgress
	elapsed := float64(c.age(now, r, p)) / float64(r.Duration)
	if !p.BelongsTo(r) {
		return fleet.Progress{
			Target: r.Target, Order: r.Revision, Era: r.Era, Share: c.canaryShare(elapsed, state), State: fleet.InProgress,
			Ordered: now.Round(0).Add(-now.Sub(r.Ordered)).Truncate(time.Millisecond),
		}, true
	}
	if p.Order != r.Revision {
		p.Order, p.Era = r.Revision, r.Era
		return p, true
	}
	if p.State != fleet.InProgress {
		return p, false
	}
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

// age returns the time since the order. An instance that has started again learned of the order late, so its time of day
// counts, unless it makes no sense: the clocks of instances differ.
func (c *Controller) age(now time.Time, r fleet.ServiceRollout, p fleet.Progress) time.Duration {
	age := now.Sub(r.Ordered)
	if !c.tookOver || !p.BelongsTo(r) || p.Ordered.IsZero() {
		return age
	}
	if byClock := now.Round(0).Sub(p.Ordered); byClock > age && byClock <= maxClockAge*r.Duration {
		return byClock
	}
	return age
}

// decideAcceptance gives a version all traffic once it is good on all routes, and rolls it back if it is not by the end, or
// after too many bad responses: missing evidence is not a good verdict. A version that is the only one left stays. Otherwise
// the progress stays the same.
func (c *Controller) decideAcceptance(
	now time.Time, p fleet.Progress, elapsed float64, state FleetState,
) (fleet.Progress, bool) {
	switch {
	case elapsed >= acceptAfter && state.ReadyServers > 0 && c.good(now, elapsed):
		p.Share, c.fullSince = 1, now
		return p, true
	case state.OldReadyServers > 0 && (elapsed >= rollBackUnprovenAfter || c.tooManyBad(now)):
		p.State, p.Share = fleet.RolledBack, 0
		return p, true
	}
	share := c.canaryShare(elapsed, state)
	changed := share < p.Share
	p.Share = min(p.Share, share)
	return p, changed
}

// tooManyBad reports whether so many responses of a version without a good verdict failed or were slower than usual that it
// must not go on, even if a disturbance of all versions may be the reason.
func (c *Controller) tooManyBad(now time.Time) bool {
	all := c.analyzers[""]
	if all == nil || all.Verdict(now).Decision == rollout.Good {
		return false
	}
	return all.Summary(now).Slow+c.targetFailures >= maxBadResponses
}

// canaryShare returns the share of the requests that a version without a verdict gets.
func (c *Controller) canaryShare(elapsed float64, state FleetState) float64 {
	requests := state.NewVersionRequests
	if all := c.analyzers[""]; all != nil {
		requests += all.Candidates()
	}
	if elapsed < firstShareUntil && float64(requests) < min(maxFirstSamples, firstSamplesFactor*c.cfg.ExtraRequests) {
		return firstShareFactor * c.cfg.MaxCanaryShare
	}
	return canaryShareFactor * c.cfg.MaxCanaryShare
}

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
	e := Evidence{Failures: c.targetFailures}
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
