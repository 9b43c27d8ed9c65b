package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	// rolloutInterval is the time between two looks at the schedule; rollbacks do not wait for it.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetry is the wait before the record is read or written again after a failure.
	rolloutRetry = time.Second
)

// move is the rollout of a route as its home drives it.
type move struct {
	route   operator.Route
	judge   *rollout.Analyzer
	record  rollout.Record
	mod     int64 // Revision of the record in the store.
	known   bool  // The record was read or written.
	busy    bool  // A call to the store is on its way.
	retryAt time.Time
	closing bool // The record of the rollout that this one supersedes is closed, or on its way.
	blocked bool // The version gets no more requests of the route.
	reason  string
}

// driveRollouts keeps the splits of the pool in line with the records, and moves these on; it must be called with mu
// held.
func (h *home) driveRollouts(now time.Time) {
	if h.serving == 0 || now.Sub(h.movedAt) < rolloutInterval {
		return
	}
	h.movedAt = now
	for _, r := range h.cfg.Routes {
		if r.Rollout == nil {
			h.endMove(r.Name)
			continue
		}
		m := h.moves[r.Name]
		if m == nil || m.route.Rollout.ID != r.Rollout.ID {
			h.endMove(r.Name)
			m = newMove(now, r)
			h.moves[r.Name] = m
		}
		m.route = r
		h.drive(now, m)
	}
}

func newMove(now time.Time, r operator.Route) *move {
	m := &move{route: r, record: rollout.NewRecord(now, r)}
	m.judge = rollout.NewAnalyzer(rollout.AnalyzerConfig{Route: r.Name, Old: r.Version, New: r.Rollout.To})
	return m
}

// superseded closes the record of a rollout that a later one names, so that it does not stay open for ever; it must be
// called with mu held.
func (h *home) superseded(m *move) {
	id := m.route.Rollout.Supersedes
	if id == "" || m.closing || !m.known {
		return
	}
	m.closing = true
	h.inst.wg.Go(func() { h.closeRecord(m, id) })
}

// closeRecord writes that a rollout was superseded; a failure is tried again.
func (h *home) closeRecord(m *move, id string) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	err := h.writeSuperseded(ctx, id, m.record.ID)
	if err == nil {
		return
	}
	event.RolloutWriteFailed.Log(&h.inst.log).Str("rollout", id).Err(err).Send()
	h.inst.sleep(rolloutRetry)
	h.mu.Lock()
	defer h.mu.Unlock()
	m.closing = false
}

func (h *home) writeSuperseded(ctx context.Context, id, by string) error {
	kv, ok, err := h.inst.store.Get(ctx, rollout.Key(id))
	if err != nil || !ok {
		return err
	}
	var rec rollout.Record
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return eris.Wrap(err, "decode rollout record")
	}
	next, changed := rollout.RollBack(h.inst.cfg.Now(), rec, "superseded by "+by)
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, ok, err = h.inst.store.Swap(ctx, rollout.Key(id), value, kv.ModRevision)
	if err == nil && !ok {
		err = eris.Errorf("record of rollout %s changed meanwhile", id)
	}
	return err
}

// endMove forgets the rollout of a route that has none any more; it must be called with mu held.
func (h *home) endMove(route string) {
	m := h.moves[route]
	if m == nil {
		return
	}
	delete(h.moves, route)
	h.pool.ClearSplit(route)
	h.pool.UnblockVersion(m.record.To, route)
}

// drive applies the share of a rollout and moves its record on; it must be called with mu held.
func (h *home) drive(now time.Time, m *move) {
	if v := m.judge.Verdict(now); v.Decision == rollout.Bad {
		h.takeBack(m, v.Reason)
	}
	if h.inst.marks.Has(m.record.ID) {
		h.block(m, "taken back by a mark")
	} else {
		h.pool.SetSplit(m.route.Name, m.record.To, m.share(now))
	}
	h.superseded(m)
	// Only a home that the store confirms may advance a rollout; a rollback is written when the store answers again.
	if m.busy || now.Before(m.retryAt) || h.tenure.Mode(now) != tenure.Home {
		return
	}
	if !m.known {
		m.busy = true
		h.inst.wg.Go(func() { h.readMove(m) })
		return
	}
	if next, changed := m.next(now); changed {
		m.busy = true
		h.inst.wg.Go(func() { h.writeMove(m, next) })
	}
}

// share returns the share of requests that the new version may get now. Before the record is known it is that of the
// first step, which no later step falls below.
func (m *move) share(now time.Time) float64 {
	if m.record.State == rollout.RolledBack {
		return 0
	}
	if m.record.State == rollout.Done {
		return 1
	}
	return m.record.Plan().Share(now, m.record.Step)
}

// next returns the record after the verdict of the judge.
func (m *move) next(now time.Time) (rollout.Record, bool) {
	if m.blocked {
		return rollout.RollBack(now, m.record, m.reason)
	}
	if next, changed := rollout.Reschedule(now, m.record, *m.route.Rollout); changed {
		return next, true
	}
	if next, changed := rollout.Advance(now, m.record, m.judge.Verdict(now)); changed {
		return next, true
	}
	return rollout.MarkLate(now, m.record)
}

// block ends all requests of the route to the new version; it must be called with mu held.
func (h *home) block(m *move, reason string) {
	if m.blocked {
		return
	}
	m.blocked = true
	m.reason = reason
	h.pool.BlockVersion(m.record.To, m.route.Name)
	h.pool.SetSplit(m.route.Name, m.record.To, 0)
	event.RolloutTakenBack.Log(&h.inst.log).Str("route", m.route.Name).Str("rollout", m.record.ID).Str("reason", reason).Send()
}

// readMove reads the record of a rollout, which an earlier home may have written.
func (h *home) readMove(m *move) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	kv, ok, err := h.inst.store.Get(ctx, rollout.Key(m.record.ID))
	var rec rollout.Record
	if err == nil && ok {
		err = eris.Wrap(json.Unmarshal(kv.Value, &rec), "decode rollout record")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.busy = false
	now := h.inst.cfg.Now()
	if err != nil {
		m.retryAt = now.Add(rolloutRetry)
		return
	}
	if !ok {
		m.busy = true
		h.inst.wg.Go(func() { h.writeMove(m, m.record) })
		return
	}
	h.adoptMove(now, m, rec, kv.ModRevision)
}

// writeMove writes the next state of a rollout; after a lost answer or a conflict the record is read again.
func (h *home) writeMove(m *move, next rollout.Record) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	mod, ok, err := h.inst.store.Swap(ctx, rollout.Key(m.record.ID), value, m.mod)
	h.mu.Lock()
	defer h.mu.Unlock()
	m.busy = false
	now := h.inst.cfg.Now()
	if err != nil || !ok {
		event.RolloutWriteFailed.Log(&h.inst.log).Str("rollout", m.record.ID).Err(err).Send()
		m.known = false
		m.retryAt = now.Add(rolloutRetry)
		return
	}
	h.adoptMove(now, m, next, mod)
}

// adoptMove takes in a record that stands in the store; it must be called with mu held.
func (h *home) adoptMove(now time.Time, m *move, rec rollout.Record, mod int64) {
	before := m.record
	m.record, m.mod, m.known = rec, mod, true
	if rec.Step != before.Step {
		m.judge.SetStep(now, rec.Step)
	}
	log := &h.inst.log
	switch {
	case rec.State == rollout.RolledBack:
		h.takeBack(m, rec.Reason)
	case rec.State == rollout.Done && before.State != rollout.Done:
		event.RolloutDone.Log(log).Str("rollout", rec.ID).Send()
	case rec.State == rollout.Late && before.State != rollout.Late:
		event.RolloutLate.Log(log).Str("rollout", rec.ID).Send()
	case rec.Step != before.Step:
		event.RolloutStep.Log(log).Str("rollout", rec.ID).Uint64("step", uint64(rec.Step)).Send()
	}
}
