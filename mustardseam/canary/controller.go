package canary

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// acceptAfter is the fraction of the time to the deadline after which a version with a good verdict gets all traffic: faults
	// often appear only after some time.
	acceptAfter = 0.55
	// lenientAfter is the fraction of the time to the deadline after which single routes need no responses in favour of a version
	// if there is no evidence against it: few responses of a good version on a route may seem bad under a disturbance.
	lenientAfter = 0.75
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
	// maxClockAge is the factor on the duration of a rollout up to which its age by the time of day is believed.
	maxClockAge = 2
	// cutInterval is the time within which connections that a backend server ends count as one failure.
	cutInterval = 500 * time.Millisecond
	// failureInterval is the time between the responses of the old version that are added to its usual failures during a rollout, so
	// that a disturbance does not take the place of all earlier ones.
	failureInterval = 12500 * time.Microsecond
	// maxUnsavedBad is the number of bad responses from which the evidence is saved.
	maxUnsavedBad = 5
	// lateFullTraffic takes the place of minFullTraffic when forceCompletionAfter has passed.
	lateFullTraffic = 500 * time.Millisecond
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
	baseline       rollout.Baseline                    // Usual latencies of the service, from before the current order.
	failures       map[string]*rollout.FailureBaseline // Usual failures by route; the empty name stands for all routes together.
	failureAdded   map[string]time.Time                // When a response was last added to them.
	active         bool                                // The current rollout is in progress.
	orderRevision  int64                               // Store revision of the current order; 0 before the first.
	target         string                              // Target version of the current order.
	analyzers      map[string]*rollout.Analyzer        // Analyzers by route; the empty name stands for all routes together.
	cuts           map[fleet.Incarnation]time.Time     // When a cut of a backend server was last counted.
	targetFailures int                                 // Number of failed responses of the target version.
	prior          fleet.RolloutEvidence               // Evidence of other controllers of the rollout.
	tookOver       bool                                // Another controller has made the first decision.
	overLimit      time.Time                           // When the version reached maxBadResponses without a good verdict; zero before.
	fullSince      time.Time                           // Time since which the target version gets all traffic; zero before.
}

// New returns a controller without a rollout.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, failures: map[string]*rollout.FailureBaseline{}, failureAdded: map[string]time.Time{}}
}

// Observe records the outcome of a request to the service.
func (c *Controller) Observe(now time.Time, route string, s rollout.Sample) {
	if !c.active {
		c.baseline.Add(s)
	}
	for _, name := range []string{"", route} {
		if !c.active || s.Version != c.target && now.Sub(c.failureAdded[name]) >= failureInterval {
			c.failureBaseline(name).Add(s.OK)
			c.failureAdded[name] = now
		}
		if !c.active {
			continue
		}
		analyzer := c.analyzers[name]
		if analyzer == nil {
			// The control is the empty version, to which all versions but the target are mapped below.
			alpha := falseRollbackBound
			if name != "" {
				alpha = routeRollbackBound
			}
			analyzer = rollout.NewAnalyzer(rollout.AnalyzerConfig{
				Route: name, Old: "", New: c.target, Alpha: alpha, Baseline: &c.baseline, Failures: c.failureBaseline(name),
			})
			c.analyzers[name] = analyzer
		}
		relabeled := s
		if relabeled.Version != c.target {
			relabeled.Version = ""
		}
		analyzer.Observe(now, relabeled)
	}
	if c.active && s.Version == c.target && !s.OK {
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

// Begin makes an order with its current progress the one to which the outcomes that follow belong.
func (c *Controller) Begin(r fleet.ServiceRollout, p fleet.Progress) {
	if c.orderRevision != r.Revision && c.orderRevision == p.Order && c.target == r.Target && p.BelongsTo(r) {
		c.orderRevision = r.Revision // The order was written again after the store was restored.
	}
	if c.orderRevision != r.Revision || c.target != r.Target {
		*c = Controller{
			cfg: c.cfg, baseline: c.baseline, failures: c.failures, failureAdded: c.failureAdded, tookOver: p.BelongsTo(r), orderRevision: r.Revision, target: r.Target,
			analyzers: map[string]*rollout.Analyzer{}, cuts: map[fleet.Incarnation]time.Time{},
		}
		if c.tookOver {
			c.restore(p.Evidence)
		}
	}
	c.active = !p.BelongsTo(r) || p.State == fleet.InProgress
}

// Next returns the next progress of a rollout with the current progress p, and whether it differs from p.
func (c *Controller) Next(now time.Time, r fleet.ServiceRollout, p fleet.Progress, state FleetState) (fleet.Progress, bool) {
	c.Begin(r, p)
	elapsed := float64(c.age(now, r, p)) / float64(r.Duration)
	if !p.BelongsTo(r) {
		return fleet.Progress{
			Target: r.Target, Order: r.Revision, Era: r.Era, Share: c.canaryShare(elapsed, state), State: fleet.InProgress,
			Ordered: now.Round(0).Add(-now.Sub(r.Ordered)).Truncate(time.Millisecond), Evidence: c.evidence(now),
		}, true
	}
	if p.Order != r.Revision {
		p.Order, p.Era = r.Revision, r.Era
		return p, true
	}
	if p.State != fleet.InProgress {
		return p, false
	}
	c.adopt(now, p.Evidence)
	next, changed := c.decide(now, p, elapsed, state)
	if changed || c.counts(now).Bad() >= p.Evidence.Bad()+maxUnsavedBad {
		next.Evidence, changed = c.evidence(now), true
	}
	return next, changed
}

// decide returns the next progress of a rollout in progress, without its evidence, and whether it differs.
func (c *Controller) decide(now time.Time, p fleet.Progress, elapsed float64, state FleetState) (fleet.Progress, bool) {
	if c.anyRouteBad(now) || state.OldReadyServers > 0 && c.tooManyBad(now) {
		p.State, p.Share = fleet.RolledBack, 0
		return p, true
	}
	if p.Share < 1 {
		return c.decideAcceptance(now, p, elapsed, state)
	}
	if c.fullSince.IsZero() {
		c.fullSince = now
	}
	if state.OldReadyServers > 0 && c.doubtful() {
		// The old version is no longer seen, so that a fault of the version looks like a disturbance of both.
		for _, analyzer := range c.analyzers {
			analyzer.Withhold()
		}
		p.Share, c.fullSince = canaryShareFactor*c.cfg.MaxCanaryShare, time.Time{}
		return p, true
	}
	late := elapsed >= forceCompletionAfter
	full := minFullTraffic
	if late {
		full = lateFullTraffic
	}
	if now.Sub(c.fullSince) >= full && (state.OldVersionRequests == 0 || late) {
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
	case state.OldReadyServers > 0 && elapsed >= rollBackUnprovenAfter:
		p.State, p.Share = fleet.RolledBack, 0
		return p, true
	}
	share := c.canaryShare(elapsed, state)
	switch {
	case state.OldReadyServers > 0 && c.held(now):
		share = 0
	case p.Share == 0:
		share = max(share, canaryShareFactor*c.cfg.MaxCanaryShare) // The old version is well again.
	case elapsed >= lenientAfter:
	default:
		share = min(p.Share, share)
	}
	changed := share != p.Share
	p.Share = share
	return p, changed
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
	e := Evidence{Failures: c.prior.Failures + c.targetFailures}
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
