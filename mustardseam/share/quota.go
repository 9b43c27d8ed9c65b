package share

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// burstSlack and rateSlack are the parts of the tolerance of a quota that are used at once and over a window. The rest
	// covers what is on its way when the bound is reached. A bucket keeps within both in any window, also across a restart
	// that empties it.
	burstSlack = 0.3
	rateSlack  = 0.5
	// manyAsks is the number of requests of a team within two intervals that make an instance judge from its own load.
	manyAsks = 3
	// sizeSmoothing is the weight of a request in the mean size.
	sizeSmoothing = 0.05
	// hearing is how long a word of the others counts; without one, an instance keeps to its standing share.
	hearing = 1500 * time.Millisecond
	// startSlack is the part of the tolerance that an instance allows at its start, when it does not know what was used
	// before.
	startSlack = 0.1
	// settleTime is how long after its start an instance that nobody told what was used keeps to its standing share. When all
	// lose power at once they start within a second of each other, and each hears of a few of the others at first.
	settleTime = 2 * time.Second
	// adoptTime is how long an instance that was told what was used still keeps to its share of it: until it has heard how much
	// the others ask for. Without it, it would use the whole level beside them.
	adoptTime = 500 * time.Millisecond
	// keptUse is the time for which a team that uses more than its rate is assumed to go on after its level was kept: until the
	// next one is written, and the way to the store.
	keptUse = 2 * time.Second
	// useHorizon is the time over which the rate of a team's use forgets.
	useHorizon = time.Second
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
	Window time.Duration  // Over which a quota is measured.
	Excess float64        // Part of the quota that may be exceeded.
	Slack  float64        // Units beyond that.
	Random func() float64 // In [0, 1); the default source when nil.
	Start  time.Time      // Of this instance, which does not know what teams used before; zero when it knows all.
}

// Quota admits the requests of teams within their limits; it is not safe for concurrent use.
type Quota struct {
	cfg   QuotaConfig
	teams map[string]*teamQuota
	heard time.Time
	// levels is what buckets held when another instance told, for teams that were not asked for here yet.
	levels   map[string]float64
	levelsAt time.Time
	kept     map[string]float64 // What buckets held before the start, by team; nil when that is not known.
	keptAt   time.Time
	adopted  time.Time // When another instance told what was used before the start; zero before.
	sharers  float64   // Instances among which the adopted levels are shared until this one is settled.
	// interval is the smoothed time between words.
	interval time.Duration
}

// teamQuota is the account of one team.
type teamQuota struct {
	bucket   Bucket  // Of the whole limit, as far as this instance has heard.
	standing Bucket  // Of the share that it may use when it hears nothing.
	use      Use     // That this instance has not told.
	told     Use     // That it told with its latest word.
	asks     int     // Requests in use.
	toldAsks int     // Requests in told.
	size     float64 // Units of a request, smoothed.
	others   float64 // Units per second that the others ask for.
	recent   float64 // Units that all used, decayed over useHorizon.
	recentAt time.Time
}

// spent takes in units that were used.
func (t *teamQuota) spent(now time.Time, units float64) {
	t.recent = max(0, t.recent*math.Exp(-now.Sub(t.recentAt).Seconds()/useHorizon.Seconds())+units)
	t.recentAt = now
}

// NewQuota returns a quota without accounts.
func NewQuota(cfg QuotaConfig) *Quota {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Quota{cfg: cfg, teams: map[string]*teamQuota{}}
}

// Admit reports whether a request of some units is within the team's limit, and takes them if so; else it returns after
// how long it would be. Instances is the number of instances that share the limit.
//
// All instances know the same level, and what they take between two words adds up. So where the level does not cover what
// all are expected to ask for until the next word, each request is admitted with the probability that makes up for it.
func (q *Quota) Admit(now time.Time, team *fleet.Team, units float64, instances int) (bool, time.Duration) {
	if team.Rate <= 0 {
		return true, 0
	}
	t := q.account(team.Name)
	t.use.Asked += units
	t.asks++
	if t.size == 0 {
		t.size = units
	}
	t.size += sizeSmoothing * (units - t.size)
	n := float64(max(1, instances))
	expected := t.others * unheardWords * q.interval.Seconds()
	if t.asks+t.toldAsks >= manyAsks {
		// The callers of a team are spread over all instances, so a sudden load shows at each of them.
		// The mean size counts, because one large request says nothing of the others.
		expected = max(expected, float64(t.asks+t.toldAsks)*t.size*(n-1))
	}
	slack := q.cfg.Slack + q.cfg.Excess*(team.Rate*q.cfg.Window.Seconds()+team.Burst)
	rate, burst := team.Rate+rateSlack*slack/q.cfg.Window.Seconds(), team.Burst+burstSlack*slack
	if t.bucket.Rate == 0 {
		q.begin(now, t, team.Name, burst, startSlack*slack, n)
	}
	t.bucket.Resize(now, rate, burst)
	t.standing.Resize(now, rate/n, burst/n)
	if !q.Settled(now) {
		return q.draw(now, t, units)
	}
	bucket := &t.bucket
	if now.Sub(q.heard) > hearing {
		bucket, expected, burst = &t.standing, 0, burst/n
	}
	// A request that is larger than the bucket would never be admitted; it may take the bucket when that is full.
	units = min(units, burst)
	if wait := bucket.Until(now, units); wait > 0 {
		return false, wait
	}
	if need := expected + units; bucket.level < need && q.cfg.Random() > bucket.level/need {
		return false, bucket.Until(now, min(need, burst))
	}
	t.standing.Drain(now, units)
	t.take(now, units)
	return true, 0
}

// draw admits a request of an instance that is not settled. The share of a small team at one of many instances is less than
// a request, so a request takes what there is for the chance of as much of itself: over all instances the share is used as
// if it were whole.
func (q *Quota) draw(now time.Time, t *teamQuota, units float64) (bool, time.Duration) {
	level := max(0, t.standing.Level(now))
	t.standing.Drain(now, min(units, level))
	if level < units && q.cfg.Random()*units >= level {
		return false, min(t.standing.Until(now, units), q.cfg.Start.Add(settleTime).Sub(now))
	}
	t.take(now, units)
	return true, 0
}

// take counts units that were admitted.
func (t *teamQuota) take(now time.Time, units float64) {
	t.bucket.Drain(now, units)
	t.use.Spent += units
	t.spent(now, units)
}

// begin fills the buckets of a team that is asked for the first time.
func (q *Quota) begin(now time.Time, t *teamQuota, team string, burst, startLevel, n float64) {
	level, kept := q.kept[team]
	switch _, known := q.levels[team]; {
	case known:
	case q.kept != nil && !kept:
		// Nobody had used it.
		level = burst
		fallthrough
	case kept:
		t.bucket.Begin(q.keptAt, level-t.use.Spent)
		t.standing.Begin(q.keptAt, level/n)
	default:
		t.bucket.Drain(now, -startLevel)
		t.standing.Drain(now, -startLevel/n)
	}
}

// Settled reports whether this instance knows what was used before its start, or has run for long enough to go by what it
// hears.
func (q *Quota) Settled(now time.Time) bool {
	told := !q.adopted.IsZero() && now.Sub(q.adopted) >= adoptTime
	return told || q.cfg.Start.IsZero() || now.Sub(q.cfg.Start) >= settleTime
}

// Configure replaces the tolerance; the accounts stay.
func (q *Quota) Configure(cfg QuotaConfig) {
	q.cfg.Window, q.cfg.Excess, q.cfg.Slack = cfg.Window, cfg.Excess, cfg.Slack
}

// Return gives back the units of a request that no backend server ran.
func (q *Quota) Return(now time.Time, team string, units float64) {
	if t := q.teams[team]; t != nil && t.bucket.Rate > 0 {
		t.bucket.Drain(now, -units)
		if q.Settled(now) {
			t.standing.Drain(now, -units) // What a draw took may have been less.
		}
		t.use.Spent -= units
	}
}

// Told returns the use through this instance since the last call, by team.
func (q *Quota) Told() map[string]Use {
	uses := map[string]Use{}
	for name, t := range q.teams {
		if t.use != (Use{}) {
			uses[name] = t.use
		}
		t.told, t.use = t.use, Use{}
		t.toldAsks, t.asks = t.asks, 0
	}
	return uses
}

// Hear takes in the use through the other instances since the last call, by team.
func (q *Quota) Hear(now time.Time, others map[string]Use) {
	passed := max(now.Sub(q.heard), minHearing).Seconds()
	if !q.heard.IsZero() && passed < hearing.Seconds() {
		q.interval += time.Duration(rateSmoothing * (passed*float64(time.Second) - float64(q.interval)))
	}
	q.heard = now
	for name, u := range others {
		if u.Spent != 0 {
			t := q.account(name)
			t.bucket.Drain(now, u.Spent)
			t.spent(now, u.Spent)
		}
	}
	for name, t := range q.teams {
		w := min(1, rateSmoothing*passed/rateSpan.Seconds())
		t.others += w * (others[name].Asked/passed - t.others)
	}
}

// Levels returns what the buckets hold, for an instance that has just started.
func (q *Quota) Levels(now time.Time) map[string]float64 {
	levels := map[string]float64{}
	for name, t := range q.teams {
		if t.bucket.Rate > 0 {
			levels[name] = t.bucket.Level(now)
		}
	}
	return levels
}

// Keep returns what the buckets will at least hold when this is read after a loss of all instances.
func (q *Quota) Keep(now time.Time) map[string]float64 {
	levels := q.Levels(now)
	for name := range levels {
		t := q.teams[name]
		t.spent(now, 0)
		levels[name] -= max(0, t.recent/useHorizon.Seconds()-t.bucket.Rate) * keptUse.Seconds()
	}
	return levels
}

// Recover takes over what buckets held before the start of this instance and of all others. Each uses its standing share of
// that until it is settled.
func (q *Quota) Recover(now time.Time, levels map[string]float64) {
	if q.kept == nil && !q.Settled(now) {
		q.kept, q.keptAt = levels, now
	}
}

// Adopt takes over what the buckets hold according to another instance that is settled; instances share it. Only the first
// such word counts.
func (q *Quota) Adopt(now time.Time, levels map[string]float64, instances int) {
	if !q.adopted.IsZero() {
		return
	}
	q.levels, q.levelsAt, q.adopted, q.sharers = levels, now, now, float64(max(1, instances))
	for name, level := range levels {
		t := q.account(name)
		t.bucket.Begin(now, level-t.use.Spent)
		t.standing.Begin(now, level/q.sharers-t.use.Spent)
	}
}

// Level returns what the bucket of a team holds and what all instances are expected to ask for before the next word.
func (q *Quota) Level(now time.Time, team string) (level, standing, asked float64) {
	t := q.account(team)
	return t.bucket.Level(now), t.standing.Level(now), t.others * unheardWords * q.interval.Seconds()
}

func (q *Quota) account(team string) *teamQuota {
	t := q.teams[team]
	if t == nil {
		t = &teamQuota{}
		t.bucket.Begin(q.cfg.Start, 0)
		t.standing.Begin(q.cfg.Start, 0)
		if level, ok := q.levels[team]; ok {
			t.bucket.Begin(q.levelsAt, level)
			t.standing.Begin(q.levelsAt, level/q.sharers)
		}
		q.teams[team] = t
	}
	return t
}
