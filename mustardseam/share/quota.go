package share

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// quotaSlack is the part of the tolerance of a quota that an instance uses at once; the rest covers what the others use
	// before it is heard of.
	quotaSlack = 0.35
	// hearing is how long a word of the others counts; without one, an instance keeps to its standing share.
	hearing = 1500 * time.Millisecond
)

// QuotaConfig is the tolerance of quotas.
type QuotaConfig struct {
	Window time.Duration // Over which a quota is measured.
	Excess float64       // Part of the quota that may be exceeded.
	Slack  float64       // Units beyond that.
}

// Quota admits the requests of teams within their limits; it is not safe for concurrent use.
type Quota struct {
	cfg   QuotaConfig
	teams map[string]*teamQuota
	heard time.Time
}

// teamQuota is the account of one team.
type teamQuota struct {
	bucket Bucket
	spent  float64 // Units that this instance admitted and has not told.
}

// NewQuota returns a quota without accounts.
func NewQuota(cfg QuotaConfig) *Quota { return &Quota{cfg: cfg, teams: map[string]*teamQuota{}} }

// Admit reports whether a request of some units is within the team's limit, else after how long it would be. Instances is
// the number of instances that share the limit.
func (q *Quota) Admit(now time.Time, team *fleet.Team, units float64, instances int) (ok bool, retry time.Duration) {
	if team.Rate <= 0 {
		return true, 0
	}
	t := q.account(team.Name)
	part := 1.0
	if now.Sub(q.heard) > hearing {
		part = 1 / float64(max(1, instances))
	}
	slack := q.cfg.Slack + q.cfg.Excess*(team.Rate*q.cfg.Window.Seconds()+team.Burst)
	rate, burst := team.Rate*part, (team.Burst+quotaSlack*slack)*part
	if rate != t.bucket.Rate || burst != t.bucket.Burst {
		t.bucket.Resize(now, rate, burst)
	}
	// A request that is larger than the bucket would never be admitted; it may take the bucket when that is full.
	if !t.bucket.Take(now, min(units, burst)) {
		return false, t.bucket.Until(now, min(units, burst))
	}
	t.spent += units
	return true, 0
}

// Return gives back the units of a request that no backend server ran.
func (q *Quota) Return(now time.Time, team string, units float64) {
	if t := q.teams[team]; t != nil && t.bucket.Rate > 0 {
		t.bucket.Drain(now, -units)
		t.spent -= units
	}
}

// Spent returns what this instance has admitted since the last call, by team.
func (q *Quota) Spent() map[string]float64 {
	spent := map[string]float64{}
	for name, t := range q.teams {
		if t.spent != 0 {
			spent[name] = t.spent
			t.spent = 0
		}
	}
	return spent
}

// Hear takes in what the other instances have admitted since the last call, by team.
func (q *Quota) Hear(now time.Time, others map[string]float64) {
	q.heard = now
	for name, units := range others {
		if units != 0 {
			q.account(name).bucket.Drain(now, units)
		}
	}
}

func (q *Quota) account(team string) *teamQuota {
	t := q.teams[team]
	if t == nil {
		t = &teamQuota{}
		q.teams[team] = t
	}
	return t
}
