package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// storeTimeout bounds a call of the home to the store; it is well below the right to grant.
const storeTimeout = 500 * time.Millisecond

// listTimeout bounds the reading of the whole journal, tens of megabytes at most, during the wait after a takeover.
const listTimeout = 2 * time.Second

func (h *home) recordKey() string { return "homes/" + h.inst.cfg.Region + "/" + h.name }

func (h *home) slotPrefix() string { return "claims/" + h.inst.cfg.Region + "/" + h.name + "/" }

// perform carries out an action of the tenure and feeds the result back.
func (h *home) perform(a tenure.Action) {
	switch a.Kind {
	case tenure.Read:
		h.readRecord()
	case tenure.Swap:
		h.swapRecord(a)
	case tenure.Ask:
		h.askConsent(a)
	}
}

func (h *home) readRecord() {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	started := h.inst.cfg.Now()
	kv, ok, err := h.inst.store.Get(ctx, h.recordKey())
	var rec tenure.Record
	if err == nil && ok {
		err = eris.Wrap(json.Unmarshal(kv.Value, &rec), "decode home record")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	h.inst.storeAnswered(err)
	if err != nil {
		h.tenure.StoreFailed(now)
		return
	}
	h.tenure.Observed(now, started, rec, kv.ModRevision, ok)
}

func (h *home) swapRecord(a tenure.Action) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(a.Record)
	if err != nil {
		return
	}
	started := h.inst.cfg.Now()
	mod, ok, err := h.inst.store.Swap(ctx, h.recordKey(), value, a.Last)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	h.inst.storeAnswered(err)
	switch {
	case err != nil:
		h.tenure.SwapLost(now)
	case !ok:
		h.tenure.SwapConflict(now)
	default:
		h.tenure.Swapped(now, started, a.Record, mod)
	}
}

// askConsent asks all candidates at the same time.
func (h *home) askConsent(a tenure.Action) {
	started := h.inst.cfg.Now()
	r := peer.ConsentRequest{
		Proto: peer.Current(), Pool: h.name, Epoch: a.Epoch, From: h.inst.cfg.Incarnation, HoldMS: a.Hold.Milliseconds(),
	}
	for _, c := range a.To {
		h.inst.wg.Go(func() {
			answer, err := h.inst.peers.Consent(c.Address, r)
			if err != nil || answer.From != c.ID {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			now := h.inst.cfg.Now()
			if answer.Given {
				h.tenure.Consented(now, started, c.ID)
			} else {
				h.tenure.Denied(now, c.ID, answer.Epoch)
			}
		})
	}
}

// consent answers the request of a home for this instance's consent.
func (h *home) consent(r peer.ConsentRequest) peer.ConsentAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	given, epoch := h.tenure.Consent(h.inst.cfg.Now(), r.From, r.Epoch, time.Duration(r.HoldMS)*time.Millisecond)
	return peer.ConsentAnswer{Proto: peer.Current(), From: h.inst.cfg.Incarnation, Given: given, Epoch: epoch}
}

// driveJournal loads the journal after a takeover and writes what is due; it must be called with mu held.
func (h *home) driveJournal(now time.Time) {
	if h.serving == 0 || h.tenure.Mode(now) == tenure.Static {
		return
	}
	if h.journal == nil {
		if !h.loading {
			h.loading = true
			epoch := h.serving
			h.inst.wg.Go(func() { h.loadJournal(epoch) })
		}
		return
	}
	j := h.journal
	if w, ok := j.Pending(now); ok {
		h.inst.wg.Go(func() { h.writeSlot(j, w) })
	}
	if slot, ok := j.Unsettled(now); ok {
		h.inst.wg.Go(func() { h.readSlot(j, slot) })
	}
	for _, s := range j.Stale(now) {
		h.inst.wg.Go(func() { h.deleteSlot(j, s) })
	}
}

const (
	// storeShare is the time between two journal writes for each home of the whole system: all homes together make 200
	// writes a second of the several hundred that the store takes.
	storeShare       = 5 * time.Millisecond
	minWriteInterval = 20 * time.Millisecond
	maxWriteInterval = 100 * time.Millisecond
)

// writeInterval returns the least time between two writes of a journal, which keyed requests wait for. It grows with the
// number of homes, one per region and pool.
func (i *Instance) writeInterval() time.Duration {
	d := i.holder.Current().Document
	regions := map[string]bool{}
	for _, dc := range d.DataCentres {
		regions[dc.Region] = true
	}
	homes := time.Duration(len(regions) * len(d.Pools))
	return min(max(homes*storeShare, minWriteInterval), maxWriteInterval)
}

// loadJournal reads the slots of earlier homes.
func (h *home) loadJournal(epoch uint64) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, listTimeout)
	defer cancel()
	list, err := h.inst.store.List(ctx, h.slotPrefix())
	var slots []claim.Slot
	for _, kv := range list {
		n, bad := strconv.ParseInt(kv.Key[len(h.slotPrefix()):], 10, 64)
		if bad != nil {
			continue
		}
		slots = append(slots, claim.Slot{Number: n, Value: kv.Value, Mod: kv.ModRevision})
	}
	if err != nil {
		event.JournalWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		h.inst.sleep(storeTimeout)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loading = false
	if err != nil || h.serving != epoch {
		return
	}
	j := claim.New(claim.Config{Epoch: epoch, Self: h.inst.cfg.Incarnation, Interval: h.inst.writeInterval()})
	if err := j.Load(h.inst.cfg.Now(), h.tenure.Baseline(), slots); err != nil {
		event.JournalWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		return
	}
	h.journal = j
}

func (h *home) slotKey(n int64) string { return fmt.Sprintf("%s%d", h.slotPrefix(), n) }

// writeSlot writes new claims.
func (h *home) writeSlot(j *claim.Journal, w claim.Write) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	mod, ok, err := h.inst.store.Swap(ctx, h.slotKey(w.Slot), w.Value, w.Last)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	switch {
	case errors.Is(err, etcd.ErrUnavailable):
		event.JournalWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		j.Failed(now, w.ID)
	case err != nil || !ok:
		event.JournalWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		j.Lost(now, w.ID)
	default:
		ids := j.Committed(now, w.ID, mod)
		if h.journal == j {
			h.commit(now, ids)
			h.decide(now)
		}
	}
}

// readSlot settles a write whose answer was lost.
func (h *home) readSlot(j *claim.Journal, slot int64) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	kv, ok, err := h.inst.store.Get(ctx, h.slotKey(slot))
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	if err != nil {
		j.ReadFailed(now)
		return
	}
	ids, err := j.ReadBack(now, slot, kv.Value, kv.ModRevision, ok)
	if err != nil {
		event.JournalWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		return
	}
	if h.journal == j {
		h.commit(now, ids)
		h.decide(now)
	}
}

// deleteSlot removes a slot whose claims are forgotten.
func (h *home) deleteSlot(j *claim.Journal, s claim.StaleSlot) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	if _, err := h.inst.store.Delete(ctx, h.slotKey(s.Number), s.Mod); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	j.Deleted(s.Number)
}

// release hands the pool over at a planned stop, at the latest until end.
func (h *home) release(end time.Time) {
	for h.inst.cfg.Now().Before(end) {
		h.mu.Lock()
		holding := h.tenure.Holding()
		rec, last, due := h.tenure.Release(h.inst.cfg.Now())
		h.mu.Unlock()
		if !holding {
			return
		}
		if due {
			h.swapRecord(tenure.Action{Record: rec, Last: last})
			event.HomeReleased.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", rec.Epoch).Send()
		}
		time.Sleep(homeTick)
	}
}
