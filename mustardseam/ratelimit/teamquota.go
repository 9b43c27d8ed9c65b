package ratelimit

import (
	"math"
	"time"
)

// teamQuota is the state of the quota of one team.
type teamQuota struct {
	bucket           tokenBucket // Whole limit, less the usage that this instance knows of.
	localShare       tokenBucket // Share that this instance may use without reports from other instances.
	pendingUsage     Usage       // Usage through this instance that it has not reported yet.
	reportedUsage    Usage       // Usage in the latest report of this instance.
	pendingRequests  int         // Number of requests in pendingUsage.
	reportedRequests int         // Number of requests in reportedUsage.
	meanUnits        float64     // Smoothed number of units per request.
	othersRate       float64     // Units per second requested through the other instances.
	recentUnits      float64     // Units used through all instances, decayed with usageTimeConstant.
	recentAt         time.Time   // Time to which recentUnits is decayed.
}

// addRecent adds units to the recent usage.
func (t *teamQuota) addRecent(now time.Time, units float64) {
	t.recentUnits = max(0, t.recentUnits*math.Exp(-now.Sub(t.recentAt).Seconds()/usageTimeConstant.Seconds())+units)
	t.recentAt = now
}

// charge records admitted units.
func (t *teamQuota) charge(now time.Time, units float64) {
	t.bucket.deduct(now, units)
	t.pendingUsage.Admitted += units
	t.addRecent(now, units)
}

// quotaFor returns the quota of a team and creates it if necessary.
func (q *Quota) quotaFor(team string) *teamQuota {
	t := q.teams[team]
	if t == nil {
		t = &teamQuota{}
		t.bucket.setLevel(q.cfg.Start, 0)
		t.localShare.setLevel(q.cfg.Start, 0)
		if level, ok := q.adoptedLevels[team]; ok {
			t.bucket.setLevel(q.adoptedLevelsAt, level)
			t.localShare.setLevel(q.adoptedLevelsAt, level/q.adoptedShares)
		}
		q.teams[team] = t
	}
	return t
}
