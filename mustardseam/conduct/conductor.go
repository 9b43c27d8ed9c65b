package conduct

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// sharePart is the part of the share that an unproven version may get which is used.
	sharePart = 0.8
	// acceptFrom is the part of the time to the deadline from which a version without a bad verdict gets all traffic.
	acceptFrom = 0.55
	// provenFrom is that part for a version with a good verdict: faults often show only after some time or under load.
	provenFrom = 0.35
	// settle is the least time for which a version carries all traffic before the move is complete, so that faults under
	// load show while the old version still runs.
	settle = 1500 * time.Millisecond
	// finishFrom is the part of the time to the deadline from which the move is completed although requests still run on the
	// old version.
	finishFrom = 0.95
	// alpha bounds the probability that a good version is taken back. The time of a rollout is short, so it is larger than
	// the default of the judge.
	alpha = 0.01
	// leastSamples is the number of answers that a version needs to be accepted without a good verdict.
	leastSamples = 5
	// badShare is the share of failures among few answers from which a version is taken back at the time of acceptance.
	badShare = 0.3
)

// Facts are what the conductor needs to know of the fleet.
type Facts struct {
	Targets int // Backend servers of the new version that are ready.
	OnOld   int // Requests that run on the old version.
}

// Conductor drives the rollout of one service; it is not safe for concurrent use.
type Conductor struct {
	exposed float64
	order   int64
	target  string
	judges  map[string]*rollout.Judge // By route; the empty name stands for all routes.
	seen    int                       // Answers of the target.
	failed  int
	full    time.Time // Since when the target carries all traffic.
}

// New returns a conductor; exposed is the share of requests that a version may get before it is known to be good.
func New(exposed float64) *Conductor { return &Conductor{exposed: exposed} }

// Observe takes in the outcome of a request to the service.
func (c *Conductor) Observe(now time.Time, route string, s rollout.Sample) {
	if c.judges == nil {
		return
	}
	for _, name := range []string{"", route} {
		j := c.judges[name]
		if j == nil {
			// The old version's name does not matter: all others are compared with the target.
			j = rollout.NewJudge(rollout.JudgeConfig{Route: name, Old: "", New: c.target, Alpha: alpha})
			c.judges[name] = j
		}
		as := s
		if as.Version != c.target {
			as.Version = ""
		}
		j.Observe(now, as)
	}
	if s.Version == c.target {
		c.seen++
		if !s.OK {
			c.failed++
		}
	}
}

// Next returns the progress that follows from what is known, and whether it differs from the current one.
func (c *Conductor) Next(now time.Time, r fleet.Rollout, p fleet.Progress, f Facts) (fleet.Progress, bool) {
	if c.order != r.Revision {
		*c = Conductor{exposed: c.exposed, order: r.Revision, target: r.Target, judges: map[string]*rollout.Judge{}}
	}
	if p.Order != r.Revision {
		return fleet.Progress{
			Target: r.Target, Order: r.Revision, Share: sharePart * c.exposed, State: fleet.InProgress,
		}, true
	}
	if p.State != fleet.InProgress {
		return p, false
	}
	passed := float64(now.Sub(r.Ordered)) / float64(r.Duration)
	if c.bad(now) {
		p.State, p.Share = fleet.RolledBack, 0
		return p, true
	}
	if p.Share < 1 {
		return c.accept(now, p, passed, f)
	}
	if c.full.IsZero() {
		c.full = now
	}
	if now.Sub(c.full) >= settle && (f.OnOld == 0 || passed >= finishFrom) {
		p.State = fleet.Complete
		return p, true
	}
	return p, false
}

// accept gives a version all traffic when it has proved good, or has shown no fault for long enough. One that fails many
// of few answers is taken back instead.
func (c *Conductor) accept(now time.Time, p fleet.Progress, passed float64, f Facts) (fleet.Progress, bool) {
	switch {
	case f.Targets == 0:
		return p, false
	case passed >= provenFrom && c.judges[""] != nil && c.judges[""].Verdict(now).Decision == rollout.Good:
	case passed >= acceptFrom && c.seen >= leastSamples:
		if float64(c.failed) >= badShare*float64(c.seen) {
			p.State, p.Share = fleet.RolledBack, 0
			return p, true
		}
	default:
		return p, false
	}
	p.Share, c.full = 1, now
	return p, true
}

// bad reports whether any route, or all together, speaks against the version.
func (c *Conductor) bad(now time.Time) bool {
	for _, j := range c.judges {
		if j.Verdict(now).Decision == rollout.Bad {
			return true
		}
	}
	return false
}
