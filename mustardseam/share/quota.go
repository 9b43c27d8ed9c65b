package share

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// quotaSlack is the part of the tolerance of a quota that is used. The rest covers what is on its way when the bound is
	// reached.
	quotaSlack = 0.8
	// hearing is how long a word of the others counts; without one, an instance keeps to its standing share.
	hearing = 1500 * time.Millisecond
	// unheardWords is the number of intervals between words for which the use by others is assumed to have gone on: one
	// until the hub knows and one until this instance does.
	unheardWords = 2
	// rateSmoothing is the weight of a measurement over rateSpan in the rate of the others' use.
	rateSmoothing = 0.5
	rateSpan      = 200 * time.Millisecond
	// minHearing keeps words that arrive together from looking like a high rate.
	minHearing = 20 * time.Millisecond
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
	// interval is the smoothed time between words.
	interval time.Duration
}

// teamQuota is the account of one team.
type teamQuota struct {
	bucket Bucket
	spent  float64 // Units that this instance admitted and has not told.
	others float64 // Units per second that the others admit.
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
	part, reserve := 1.0, t.others*unheardWords*q.interval.Seconds()
	if now.Sub(q.heard) > hearing {
		part, reserve = 1/float64(max(1, instances)), 0
	}
	slack := q.cfg.Slack + q.cfg.Excess*(team.Rate*q.cfg.Window.Seconds()+team.Burst)
	rate, burst := team.Rate*part, (team.Burst+quotaSlack*slack)*part
	if rate != t.bucket.Rate || burst != t.bucket.Burst {
		t.bucket.Resize(now, rate, burst)
	}
	// A request that is larger than the bucket would never be admitted; it may take the bucket when that is full.
	reserve = min(reserve, burst/2)
	units = min(units, burst-reserve)
	if t.bucket.Until(now, units+reserve) > 0 {
		return false, t.bucket.Until(now, units+reserve)
	}
	t.bucket.Drain(now, units)
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
	passed := max(now.Sub(q.heard), minHearing).Seconds()
	if !q.heard.IsZero() && passed < hearing.Seconds() {
		q.interval += time.Duration(rateSmoothing * (passed*float64(time.Second) - float64(q.interval)))
	}
	q.heard = now
	for name, units := range others {
		if units != 0 {
			q.account(name).bucket.Drain(now, units)
		}
	}
	for name, t := range q.teams {
		w := min(1, rateSmoothing*passed/rateSpan.Seconds())
		t.others += w * (others[name]/passed - t.others)
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
