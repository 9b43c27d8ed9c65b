package scenario

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// splitter is a scheduler that can move the traffic of a route.
type splitter interface {
	SetSplit(route, to string, share float64)
	ClearSplit(route string)
	BlockVersion(version, route string)
}

// moverPeriod is the interval at which a home looks at its rollouts.
const moverPeriod = 500 * time.Millisecond

// mover drives the rollout of one route as the home of its pool does; the store always answers.
type mover struct {
	w      *drive.Simulation
	pool   string
	rec    rollout.Record
	judge  *rollout.Analyzer
	marks  rollout.RollbackMarks
	marked time.Time // When the judge called the version bad.
	ended  time.Time // When the rollout was done or taken back.
}

// newMover begins the route's rollout.
func newMover(w *drive.Simulation, r operator.Route) *mover {
	rec := rollout.NewRecord(w.Clock.Now(), r)
	m := &mover{w: w, pool: r.Pool, rec: rec, judge: rollout.NewAnalyzer(rollout.AnalyzerConfig{
		Route: rec.Route, Old: rec.From, New: rec.To,
	})}
	m.judge.SetStep(w.Clock.Now(), rec.Step)
	w.Clock.Every(0, moverPeriod, func() bool {
		m.step()
		return m.rec.InProgress()
	})
	return m
}

// observe takes in an outcome at the home.
func (m *mover) observe(rec *drive.Record, o pool.Outcome) {
	if rec.Route != m.rec.Route || o.Result != pool.OK && o.Result != pool.Failed {
		return
	}
	limit := m.w.Engines[rec.Server].Config().MaxBatch
	v := m.judge.Observe(m.w.Clock.Now(), rollout.Sample{
		Version: rec.Version, OK: o.Result == pool.OK, FirstToken: o.FirstToken, InterToken: o.InterToken,
		LoadBucket: min(rollout.LoadBuckets-1, rec.ServerLoad*rollout.LoadBuckets/limit),
	})
	if v.Decision == rollout.Bad && m.marks.Add(m.rec.ID) {
		m.marked = m.w.Clock.Now()
		m.split()
	}
}

// step advances the record or takes the rollout back, and holds the split.
func (m *mover) step() {
	now := m.w.Clock.Now()
	v := m.judge.Verdict(now)
	next, changed := m.rec, false
	if m.marks.Has(m.rec.ID) {
		next, changed = rollout.RollBack(now, m.rec, v.Reason)
	} else if next, changed = rollout.Advance(now, m.rec, v); !changed {
		next, changed = rollout.MarkLate(now, m.rec)
	}
	if changed {
		m.rec = next
		m.judge.SetStep(now, next.Step)
		if !next.InProgress() {
			m.ended = now
		}
	}
	m.split()
}

// split tells the pool the share of the new version; a marked rollout has none.
func (m *mover) split() {
	s, ok := m.w.Scheduler(m.pool).(splitter)
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
		s.SetSplit(m.rec.Route, m.rec.To, m.rec.Plan().Share(m.w.Clock.Now(), m.rec.Step))
	}
}
