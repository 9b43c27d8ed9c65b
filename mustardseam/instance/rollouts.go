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
	// rolloutInterval is the time between two checks of the rollout schedules; rollbacks do not wait for it.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetryDelay is the delay before a failed read or write of a record is repeated.
	rolloutRetryDelay = time.Second
)

// routeRollout is the state of a route's rollout at the home of its pool.
type routeRollout struct {
	route             operator.Route
	analyzer          *rollout.Analyzer
	record            rollout.Record
	modRevision       int64 // Revision of the record's key in the store.
	recordKnown       bool  // The record was read from or written to the store.
	storeCallPending  bool  // A read or write of the record is in progress.
	retryAt           time.Time
	closingSuperseded bool // The record of the superseded rollout is closed, or being closed.
	versionBlocked    bool // The new version gets no more requests of the route.
	reason            string
}

// driveRollouts sets the traffic splits of the pool from the rollout records and advances the records; it must be
// called with mu held.
func (h *home) driveRollouts(now time.Time) {
	if h.servingEpoch == 0 || now.Sub(h.lastRolloutCheck) < rolloutInterval {
		return
	}
	h.lastRolloutCheck = now
	for _, r := range h.cfg.Routes {
		if r.Rollout == nil {
			h.endRollout(r.Name)
			continue
		}
		ro := h.rollouts[r.Name]
		if ro == nil || ro.route.Rollout.ID != r.Rollout.ID {
			h.endRollout(r.Name)
			ro = newRouteRollout(now, r)
			h.rollouts[r.Name] = ro
		}
		ro.route = r
		h.driveRollout(now, ro)
	}
}

func newRouteRollout(now time.Time, r operator.Route) *routeRollout {
	ro := &routeRollout{route: r, record: rollout.NewRecord(now, r)}
	ro.analyzer = rollout.NewAnalyzer(rollout.AnalyzerConfig{Route: r.Name, Old: r.Version, New: r.Rollout.To})
	return ro
}

// closeSuperseded starts to close the record of the rollout that this one supersedes, which would otherwise stay open
// for ever; it must be called with mu held.
func (h *home) closeSuperseded(ro *routeRollout) {
	id := ro.route.Rollout.Supersedes
	if id == "" || ro.closingSuperseded || !ro.recordKnown {
		return
	}
	ro.closingSuperseded = true
	h.inst.wg.Go(func() { h.closeSupersededRecord(ro, id) })
}

// closeSupersededRecord records that a rollout was superseded. After a failure, driveRollout starts it again.
func (h *home) closeSupersededRecord(ro *routeRollout, id string) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	err := h.writeSuperseded(ctx, id, ro.record.ID)
	if err == nil {
		return
	}
	event.RolloutWriteFailed.Log(&h.inst.log).Str("rollout", id).Err(err).Send()
	h.inst.sleep(rolloutRetryDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	ro.closingSuperseded = false
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
	_, ok, err = h.inst.store.CompareAndSwap(ctx, rollout.Key(id), value, kv.ModRevision)
	if err == nil && !ok {
		err = eris.Errorf("record of rollout %s changed meanwhile", id)
	}
	return err
}

// endRollout removes the rollout of a route with its split and version block; it must be called with mu held.
func (h *home) endRollout(route string) {
	ro := h.rollouts[route]
	if ro == nil {
		return
	}
	delete(h.rollouts, route)
	h.pool.ClearSplit(route)
	h.pool.UnblockVersion(ro.record.To, route)
}

// driveRollout sets the traffic share of a rollout, or rolls it back, and advances its record; it must be called with
// mu held.
func (h *home) driveRollout(now time.Time, ro *routeRollout) {
	if v := ro.analyzer.Verdict(now); v.Decision == rollout.Bad {
		h.rollBack(ro, v.Reason)
	}
	if h.inst.marks.Has(ro.record.ID) {
		h.blockVersion(ro, "taken back by a mark")
	} else {
		h.pool.SetSplit(ro.route.Name, ro.record.To, ro.share(now))
	}
	h.closeSuperseded(ro)
	// Only a home confirmed by the store may advance a rollout. A rollback is written once the store answers again.
	if ro.storeCallPending || now.Before(ro.retryAt) || h.tenure.Mode(now) != tenure.Home {
		return
	}
	if !ro.recordKnown {
		ro.storeCallPending = true
		h.inst.wg.Go(func() { h.readRolloutRecord(ro) })
		return
	}
	if next, changed := ro.nextRecord(now); changed {
		ro.storeCallPending = true
		h.inst.wg.Go(func() { h.writeRolloutRecord(ro, next) })
	}
}

// share returns the current share of requests for the new version. Until the record is known it is the share of the
// first step, and no later step has a lower one.
func (ro *routeRollout) share(now time.Time) float64 {
	if ro.record.State == rollout.RolledBack {
		return 0
	}
	if ro.record.State == rollout.Done {
		return 1
	}
	return ro.record.Plan().Share(now, ro.record.Step)
}

// nextRecord returns the record that follows from the current verdict, and whether it differs from the stored one.
func (ro *routeRollout) nextRecord(now time.Time) (rollout.Record, bool) {
	if ro.versionBlocked {
		return rollout.RollBack(now, ro.record, ro.reason)
	}
	if next, changed := rollout.Reschedule(now, ro.record, *ro.route.Rollout); changed {
		return next, true
	}
	if next, changed := rollout.Advance(now, ro.record, ro.analyzer.Verdict(now)); changed {
		return next, true
	}
	return rollout.MarkLate(now, ro.record)
}

// blockVersion stops all traffic of the route to the new version; it must be called with mu held.
func (h *home) blockVersion(ro *routeRollout, reason string) {
	if ro.versionBlocked {
		return
	}
	ro.versionBlocked = true
	ro.reason = reason
	h.pool.BlockVersion(ro.record.To, ro.route.Name)
	h.pool.SetSplit(ro.route.Name, ro.record.To, 0)
	event.RolloutRolledBack.Log(&h.inst.log).Str("route", ro.route.Name).Str("rollout", ro.record.ID).Str("reason", reason).Send()
}

// readRolloutRecord reads the record of a rollout, which an earlier home may have written, or creates it.
func (h *home) readRolloutRecord(ro *routeRollout) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	kv, ok, err := h.inst.store.Get(ctx, rollout.Key(ro.record.ID))
	var rec rollout.Record
	if err == nil && ok {
		err = eris.Wrap(json.Unmarshal(kv.Value, &rec), "decode rollout record")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ro.storeCallPending = false
	now := h.inst.cfg.Now()
	if err != nil {
		ro.retryAt = now.Add(rolloutRetryDelay)
		return
	}
	if !ok {
		ro.storeCallPending = true
		h.inst.wg.Go(func() { h.writeRolloutRecord(ro, ro.record) })
		return
	}
	h.applyRolloutRecord(now, ro, rec, kv.ModRevision)
}

// writeRolloutRecord writes the next state of a rollout. After an error or a conflict the record is read again.
func (h *home) writeRolloutRecord(ro *routeRollout, next rollout.Record) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	mod, ok, err := h.inst.store.CompareAndSwap(ctx, rollout.Key(ro.record.ID), value, ro.modRevision)
	h.mu.Lock()
	defer h.mu.Unlock()
	ro.storeCallPending = false
	now := h.inst.cfg.Now()
	if err != nil || !ok {
		event.RolloutWriteFailed.Log(&h.inst.log).Str("rollout", ro.record.ID).Err(err).Send()
		ro.recordKnown = false
		ro.retryAt = now.Add(rolloutRetryDelay)
		return
	}
	h.applyRolloutRecord(now, ro, next, mod)
}

// applyRolloutRecord applies a record read from or written to the store; it must be called with mu held.
func (h *home) applyRolloutRecord(now time.Time, ro *routeRollout, rec rollout.Record, mod int64) {
	before := ro.record
	ro.record, ro.modRevision, ro.recordKnown = rec, mod, true
	if rec.Step != before.Step {
		ro.analyzer.SetStep(now, rec.Step)
	}
	log := &h.inst.log
	switch {
	case rec.State == rollout.RolledBack:
		h.rollBack(ro, rec.Reason)
	case rec.State == rollout.Done && before.State != rollout.Done:
		event.RolloutDone.Log(log).Str("rollout", rec.ID).Send()
	case rec.State == rollout.Late && before.State != rollout.Late:
		event.RolloutLate.Log(log).Str("rollout", rec.ID).Send()
	case rec.Step != before.Step:
		event.RolloutStep.Log(log).Str("rollout", rec.ID).Uint64("step", uint64(rec.Step)).Send()
	}
}
