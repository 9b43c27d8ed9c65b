package scenario

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// trafficSplitter is implemented by schedulers that can split the traffic of a route between versions.
type trafficSplitter interface {
	SetSplit(route, to string, share float64)
	ClearSplit(route string)
	BlockVersion(version, route string)
}

// rolloutInterval is the interval at which a home advances its rollouts.
const rolloutInterval = 500 * time.Millisecond

// rolloutDriver advances the rollout of one route as the home of its pool does, with a store that is always available.
type rolloutDriver struct {
	sim         *drive.Simulation
	pool        string
	rec         rollout.Record
	analyzer    *rollout.Analyzer
	marks       rollout.RollbackMarks
	markedBadAt time.Time // Time at which the analyzer judged the version bad; zero if it did not.
	endedAt     time.Time // Time at which the rollout was done or rolled back; zero while it is in progress.
}

// newRolloutDriver starts the route's rollout.
func newRolloutDriver(sim *drive.Simulation, r operator.Route) *rolloutDriver {
	rec := rollout.NewRecord(sim.Clock.Now(), r)
	m := &rolloutDriver{sim: sim, pool: r.Pool, rec: rec, analyzer: rollout.NewAnalyzer(rollout.AnalyzerConfig{
		Route: rec.Route, Old: rec.From, New: rec.To,
	})}
	m.analyzer.SetStep(sim.Clock.Now(), rec.Step)
	sim.Clock.Every(0, rolloutInterval, func() bool {
		m.step()
		return m.rec.InProgress()
	})
	return m
}

// observe passes an outcome that the home has processed to the analyzer, and marks the rollout for rollback on a bad
// verdict.
func (m *rolloutDriver) observe(rec *drive.Record, o pool.Outcome) {
	if rec.Route != m.rec.Route || o.Result != pool.OK && o.Result != pool.Failed {
		return
	}
	limit := m.sim.Engines[rec.Server].Config().MaxBatch
	v := m.analyzer.Observe(m.sim.Clock.Now(), rollout.Sample{
		Version: rec.Version, OK: o.Result == pool.OK, FirstToken: o.FirstToken, InterToken: o.InterToken,
		LoadBucket: min(rollout.LoadBuckets-1, rec.ServerLoad*rollout.LoadBuckets/limit),
	})
	if v.Decision == rollout.Bad && m.marks.Add(m.rec.ID) {
		m.markedBadAt = m.sim.Clock.Now()
		m.applySplit()
	}
}

// step advances the rollout, rolls it back or marks it as late, and applies the resulting split.
func (m *rolloutDriver) step() {
	now := m.sim.Clock.Now()
	v := m.analyzer.Verdict(now)
	next, changed := m.rec, false
	if m.marks.Has(m.rec.ID) {
		next, changed = rollout.RollBack(now, m.rec, v.Reason)
	} else if next, changed = rollout.Advance(now, m.rec, v); !changed {
		next, changed = rollout.MarkLate(now, m.rec)
	}
	if changed {
		m.rec = next
		m.analyzer.SetStep(now, next.Step)
		if !next.InProgress() {
			m.endedAt = now
		}
	}
	m.applySplit()
}

// applySplit sets the new version's share of the traffic at the scheduler. A rollout marked for rollback gets none.
func (m *rolloutDriver) applySplit() {
	s, ok := m.sim.Scheduler(m.pool).(trafficSplitter)
	if !ok {
		return
	}
	switch {
	case m.marks.Has(m.rec.ID):
		s.BlockVersion(m.rec.To, m.rec.Route)
		s.ClearSplit(m.rec.Route)
	case m.rec.State == rollout.Done:
		s.SetSplit(m.rec.Route, m.rec.To, 1)
	default:
		s.SetSplit(m.rec.Route, m.rec.To, m.rec.Plan().Share(m.sim.Clock.Now(), m.rec.Step))
	}
}
