package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// burstTolerance and rateTolerance are the fractions of a quota's tolerance that are allowed at once and over a window.
	// The rest covers reports that are still in transit when the limit is reached. A bucket stays within both in any
	// window, including across a restart that empties it.
	burstTolerance = 0.3
	rateTolerance  = 0.5
	// minLocalRequests is the number of requests of a team in two report intervals from which on an instance estimates the
	// total load of the team from its own.
	minLocalRequests = 3
	// sizeSmoothing is the weight of a request in the mean request size.
	sizeSmoothing = 0.05
	// reportValidity is how long a report from the other instances is valid. Without a valid report, an instance keeps to
	// its local share.
	reportValidity = 1500 * time.Millisecond
	// startTolerance is the fraction of the tolerance that an instance allows at its start if it does not know the earlier
	// usage.
	startTolerance = 0.1
	// settleTime is how long after its start an instance that did not receive the earlier usage keeps to its local
	// share. If all instances lose power at once, they start within a second of each other, and each receives reports
	// from only a few of the other instances at first.
	settleTime = 2 * time.Second
	// adoptTime is how long an instance that received the earlier usage still keeps to its share of the levels, until it
	// knows how much the other instances request. Without this delay, it would use the whole level in addition to them.
	adoptTime = 500 * time.Millisecond
	// storedLevelAge is how long a team above its rate is assumed to continue after its level was stored: the time until
	// the next level is written, including the transmission to the store.
	storedLevelAge = 2 * time.Second
	// usageTimeConstant is the time constant of the exponential decay of a team's recent usage.
	usageTimeConstant = time.Second
	// unseenIntervals is the number of report intervals for which the usage through other instances is assumed to have
	// continued: one until the hub learns of it and one until this instance does.
	unseenIntervals = 2
	// rateSmoothing is the weight of a measurement over rateSmoothingSpan in the rate of the usage through other
	// instances, and the weight of an interval in the smoothed report interval, whatever its length.
	rateSmoothing     = 0.5
	rateSmoothingSpan = 200 * time.Millisecond
	// minRateSpan is the shortest time over which a rate is computed, so that reports that arrive together do not look
	// like a high rate.
	minRateSpan = 20 * time.Millisecond
)

// QuotaConfig configures a Quota: the tolerance with which limits are enforced, and the start of the instance.
type QuotaConfig struct {
	Window time.Duration  // Time over which a quota is measured.
	Excess float64        // Fraction by which the quota may be exceeded.
	Slack  float64        // Units by which it may be exceeded in addition.
	Random func() float64 // Returns numbers in [0, 1); nil selects the default source.
	Start  time.Time      // Start of this instance, which does not know the usage before; zero if it knows all usage.
}

// Quota admits the requests of teams within their limits. It is not safe for concurrent use.
type Quota struct {
	cfg        QuotaConfig
	teams      map[string]*teamQuota
	lastReport time.Time // Time of the latest report from the other instances.
	// adoptedLevels are the bucket levels adopted from another instance at adoptedLevelsAt. They initialize the buckets of
	// teams for which this instance has seen no request yet.
	adoptedLevels   map[string]float64
	adoptedLevelsAt time.Time
	// storedLevels are the bucket levels from before the start, by team; nil if they are not known.
	storedLevels map[string]float64
	storedAt     time.Time // Time at which the stored levels were read.
	// adoptedAt is the time at which another instance reported the usage before the start; zero before that.
	adoptedAt time.Time
	// adoptedShares is the divisor of the adopted levels until this instance is settled: the instances that share them.
	adoptedShares  float64
	reportInterval time.Duration // Smoothed time between reports.
	reachable      float64       // Share of the limits that the instances in contact with this one may use; 0 counts as 1.
}

// NewQuota returns a quota that has admitted no requests.
func NewQuota(cfg QuotaConfig) *Quota {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Quota{cfg: cfg, teams: map[string]*teamQuota{}}
}

// Admit takes the units of a request from the quota of a team if the request is within the limit, and reports whether it
// is. Otherwise it also returns an estimate of when a retry is likely to be admitted. instances is the number of
// instances that share the limit.
//
// All instances know the same level, and their usage between two reports adds up. If the level does not cover the units
// that all instances are expected to request until the next report, each request is admitted with a probability that
// compensates for this.
func (q *Quota) Admit(now time.Time, team *fleet.Team, units float64, instances int) (bool, time.Duration) {
	if team.Rate <= 0 {
		return true, 0
	}
	t := q.quotaFor(team.Name)
	t.pendingUsage.Requested += units
	t.pendingRequests++
	if t.meanUnits == 0 {
		t.meanUnits = units
	}
	t.meanUnits += sizeSmoothing * (units - t.meanUnits)
	n := float64(max(1, instances))
	expected := t.othersRate * unseenIntervals * q.reportInterval.Seconds()
	if t.pendingRequests+t.reportedRequests >= minLocalRequests {
		// The callers of a team are spread over all instances, so a sudden load appears at each of them. The mean size is
		// used because one large request says nothing about the others.
		expected = max(expected, float64(t.pendingRequests+t.reportedRequests)*t.meanUnits*(n-1))
	}
	tolerance := q.cfg.Slack + q.cfg.Excess*(team.Rate*q.cfg.Window.Seconds()+team.Burst)
	rate, burst := team.Rate+rateTolerance*tolerance/q.cfg.Window.Seconds(), team.Burst+burstTolerance*tolerance
	if t.bucket.rate == 0 {
		q.initBuckets(now, t, team.Name, burst, startTolerance*tolerance, n)
	}
	reachable := 1.0
	if q.reachable > 0 {
		reachable = q.reachable
	}
	t.bucket.resize(now, rate*reachable, burst*reachable)
	t.localShare.resize(now, rate/n, burst/n)
	if !q.Settled(now) {
		return q.admitUnsettled(now, t, units)
	}
	bucket, limit := &t.bucket, burst*reachable
	if now.Sub(q.lastReport) > reportValidity {
		bucket, expected, limit = &t.localShare, 0, burst/n
	}
	// A request larger than the bucket would never be admitted, so it takes the whole bucket when that is full.
	units = min(units, limit)
	if wait := bucket.waitFor(now, units); wait > 0 {
		return false, wait
	}
	if need := expected + units; bucket.level < need && q.cfg.Random() > bucket.level/need {
		return false, bucket.waitFor(now, min(need, limit))
	}
	t.localShare.deduct(now, units)
	t.charge(now, units)
	return true, 0
}

// admitUnsettled decides on a request while the instance is not settled. With many instances, the share of a small team
// at one of them is less than a request. A request therefore takes the units that are left and is admitted with a
// probability equal to the fraction that they cover. Over all instances, the shares are then used as if they were one.
func (q *Quota) admitUnsettled(now time.Time, t *teamQuota, units float64) (bool, time.Duration) {
	level := max(0, t.localShare.currentLevel(now))
	t.localShare.deduct(now, min(units, level))
	if level < units && q.cfg.Random()*units >= level {
		return false, min(t.localShare.waitFor(now, units), q.cfg.Start.Add(settleTime).Sub(now))
	}
	t.charge(now, units)
	return true, 0
}

// initBuckets sets the initial levels of the buckets at the first request of a team.
func (q *Quota) initBuckets(now time.Time, t *teamQuota, team string, burst, startLevel, n float64) {
	level, stored := q.storedLevels[team]
	switch _, known := q.adoptedLevels[team]; {
	case known:
		// quotaFor has set the levels.
	case q.storedLevels != nil && !stored:
		// The team has no stored level, so it had not used its quota.
		level = burst
		fallthrough
	case stored:
		t.bucket.setLevel(q.storedAt, level-t.pendingUsage.Admitted)
		t.localShare.setLevel(q.storedAt, level/n)
	default:
		t.bucket.deduct(now, -startLevel)
		t.localShare.deduct(now, -startLevel/n)
	}
}

// Settled reports whether this instance knows the usage before its start, or has run long enough to rely on the reports
// that it receives.
func (q *Quota) Settled(now time.Time) bool {
	adopted := !q.adoptedAt.IsZero() && now.Sub(q.adoptedAt) >= adoptTime
	return adopted || q.cfg.Start.IsZero() || now.Sub(q.cfg.Start) >= settleTime
}

// SetReachable sets the share of the limits, from 0 to 1, that the instances in contact with this one use together. The others
// may be cut off and use the rest, which this instance does not learn of in time.
func (q *Quota) SetReachable(share float64) { q.reachable = share }

// Configure replaces the tolerance (Window, Excess and Slack) and keeps the state of the teams.
func (q *Quota) Configure(cfg QuotaConfig) {
	q.cfg.Window, q.cfg.Excess, q.cfg.Slack = cfg.Window, cfg.Excess, cfg.Slack
}

// Refund credits the units of a request that no backend server ran back to its team.
func (q *Quota) Refund(now time.Time, team string, units float64) {
	if t := q.teams[team]; t != nil && t.bucket.rate > 0 {
		t.bucket.deduct(now, -units)
		if q.Settled(now) {
			t.localShare.deduct(now, -units) // admitUnsettled may have taken less.
		}
		t.pendingUsage.Admitted -= units
	}
}

// TakePendingUsage returns the usage through this instance since the last call, by team, and marks it as reported.
func (q *Quota) TakePendingUsage() map[string]Usage {
	usages := map[string]Usage{}
	for name, t := range q.teams {
		if t.pendingUsage != (Usage{}) {
			usages[name] = t.pendingUsage
		}
		t.reportedUsage, t.pendingUsage = t.pendingUsage, Usage{}
		t.reportedRequests, t.pendingRequests = t.pendingRequests, 0
	}
	return usages
}

// AddOtherUsage records the usage through the other instances since the last call, by team.
func (q *Quota) AddOtherUsage(now time.Time, others map[string]Usage) {
	elapsed := max(now.Sub(q.lastReport), minRateSpan).Seconds()
	if !q.lastReport.IsZero() && elapsed < reportValidity.Seconds() {
		q.reportInterval += time.Duration(rateSmoothing * (elapsed*float64(time.Second) - float64(q.reportInterval)))
	}
	q.lastReport = now
	for name, u := range others {
		if u.Admitted != 0 {
			t := q.quotaFor(name)
			t.bucket.deduct(now, u.Admitted)
			t.addRecent(now, u.Admitted)
		}
	}
	for name, t := range q.teams {
		w := min(1, rateSmoothing*elapsed/rateSmoothingSpan.Seconds())
		t.othersRate += w * (others[name].Requested/elapsed - t.othersRate)
	}
}

// Levels returns the bucket levels by team, for an instance that has just started.
func (q *Quota) Levels(now time.Time) map[string]float64 {
	levels := map[string]float64{}
	for name, t := range q.teams {
		if t.bucket.rate > 0 {
			levels[name] = t.bucket.currentLevel(now)
		}
	}
	return levels
}

// LevelsToStore returns the bucket levels to store, by team: the least that the buckets will hold when the levels are
// read after a failure of all instances.
func (q *Quota) LevelsToStore(now time.Time) map[string]float64 {
	levels := q.Levels(now)
	for name := range levels {
		t := q.teams[name]
		t.addRecent(now, 0)
		levels[name] -= max(0, t.recentUnits/usageTimeConstant.Seconds()-t.bucket.rate) * storedLevelAge.Seconds()
	}
	return levels
}

// SetStoredLevels sets the bucket levels from before the start of all instances, including this one. Each instance uses
// its local share of them until it is settled.
func (q *Quota) SetStoredLevels(now time.Time, levels map[string]float64) {
	if q.storedLevels == nil && !q.Settled(now) {
		q.storedLevels, q.storedAt = levels, now
	}
}

// AdoptLevels sets the bucket levels to those reported by another instance that is settled. The given number of instances
// share them. Only the first call has an effect.
func (q *Quota) AdoptLevels(now time.Time, levels map[string]float64, instances int) {
	if !q.adoptedAt.IsZero() {
		return
	}
	q.adoptedLevels, q.adoptedLevelsAt, q.adoptedAt, q.adoptedShares = levels, now, now, float64(max(1, instances))
	for name, level := range levels {
		t := q.quotaFor(name)
		t.bucket.setLevel(now, level-t.pendingUsage.Admitted)
		t.localShare.setLevel(now, level/q.adoptedShares-t.pendingUsage.Admitted)
	}
}

// Level returns the levels of the bucket and of the local share of a team, and the units that the other instances are
// expected to request before the next report.
func (q *Quota) Level(now time.Time, team string) (level, local, expected float64) {
	t := q.quotaFor(team)
	return t.bucket.currentLevel(now), t.localShare.currentLevel(now), t.othersRate * unseenIntervals * q.reportInterval.Seconds()
}
