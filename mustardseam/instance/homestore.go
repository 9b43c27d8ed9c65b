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

// storeTimeout is the timeout of a home's call to the store. It is well below the duration of the right to grant.
const storeTimeout = 500 * time.Millisecond

// listTimeout is the timeout for reading the whole journal, at most tens of megabytes, during the wait after a
// takeover.
const listTimeout = 2 * time.Second

func (h *home) recordKey() string { return "homes/" + h.inst.cfg.Region + "/" + h.name }

func (h *home) slotPrefix() string { return "claims/" + h.inst.cfg.Region + "/" + h.name + "/" }

// performAction performs an action requested by the tenure and passes its result to the tenure.
func (h *home) performAction(a tenure.Action) {
	switch a.Kind {
	case tenure.Read:
		h.readRecord()
	case tenure.Swap:
		h.swapRecord(a)
	case tenure.Ask:
		h.requestConsent(a)
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
		h.tenure.ReadFailed(now)
		return
	}
	h.tenure.ReadDone(now, started, rec, kv.ModRevision, ok)
}

func (h *home) swapRecord(a tenure.Action) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(a.Record)
	if err != nil {
		return
	}
	started := h.inst.cfg.Now()
	mod, ok, err := h.inst.store.CompareAndSwap(ctx, h.recordKey(), value, a.ExpectedMod)
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
		h.tenure.SwapDone(now, started, a.Record, mod)
	}
}

// requestConsent asks all candidates concurrently for their consent.
func (h *home) requestConsent(a tenure.Action) {
	started := h.inst.cfg.Now()
	r := peer.ConsentRequest{
		Proto: peer.CurrentProto(), Pool: h.name, Epoch: a.Epoch, From: h.inst.cfg.Incarnation, HoldMS: a.ConsentDuration.Milliseconds(),
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
				h.tenure.ConsentGiven(now, started, c.ID)
			} else {
				h.tenure.ConsentDenied(now, c.ID, answer.Epoch)
			}
		})
	}
}

// handleConsent answers a home that asks this instance for its consent.
func (h *home) handleConsent(r peer.ConsentRequest) peer.ConsentAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	given, epoch := h.tenure.Consent(h.inst.cfg.Now(), r.From, r.Epoch, time.Duration(r.HoldMS)*time.Millisecond)
	return peer.ConsentAnswer{Proto: peer.CurrentProto(), From: h.inst.cfg.Incarnation, Given: given, Epoch: epoch}
}

// driveJournal loads the journal after a takeover and then starts its due writes, reads and deletions; it must be
// called with mu held.
func (h *home) driveJournal(now time.Time) {
	if h.servingEpoch == 0 || h.tenure.Mode(now) == tenure.Static {
		return
	}
	if h.journal == nil {
		if !h.journalLoading {
			h.journalLoading = true
			epoch := h.servingEpoch
			h.inst.wg.Go(func() { h.loadJournal(epoch) })
		}
		return
	}
	j := h.journal
	if w, ok := j.NextWrite(now); ok {
		h.inst.wg.Go(func() { h.writeSlot(j, w) })
	}
	if slot, ok := j.ReadBackDue(now); ok {
		h.inst.wg.Go(func() { h.readSlot(j, slot) })
	}
	for _, s := range j.StaleSlots(now) {
		h.inst.wg.Go(func() { h.deleteSlot(j, s) })
	}
}

const (
	// writeIntervalPerHome is the part of the write interval for each home of the whole system. It limits all homes
	// together to 200 journal writes a second, of the several hundred that the store takes, until maxWriteInterval is
	// reached, at 20 homes.
	writeIntervalPerHome = 5 * time.Millisecond
	minWriteInterval     = 20 * time.Millisecond
	maxWriteInterval     = 100 * time.Millisecond
)

// writeInterval returns the shortest time between two writes of a journal, for which keyed requests wait. It grows with
// the number of homes, one per region and pool.
func (i *Instance) writeInterval() time.Duration {
	d := i.holder.Current().Document
	regions := map[string]bool{}
	for _, dc := range d.DataCentres {
		regions[dc.Region] = true
	}
	homes := time.Duration(len(regions) * len(d.Pools))
	return min(max(homes*writeIntervalPerHome, minWriteInterval), maxWriteInterval)
}

// loadJournal reads the slots written by earlier homes and creates the journal of this home.
func (h *home) loadJournal(epoch uint64) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, listTimeout)
	defer cancel()
	list, err := h.inst.store.List(ctx, h.slotPrefix())
	var slots []claim.Slot
	for _, kv := range list {
		n, parseErr := strconv.ParseInt(kv.Key[len(h.slotPrefix()):], 10, 64)
		if parseErr != nil {
			continue
		}
		slots = append(slots, claim.Slot{Number: n, Value: kv.Value, Mod: kv.ModRevision})
	}
	if err != nil {
		event.ClaimWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		h.inst.sleep(storeTimeout)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.journalLoading = false
	if err != nil || h.servingEpoch != epoch {
		return
	}
	j := claim.New(claim.Config{Epoch: epoch, Self: h.inst.cfg.Incarnation, MinWriteInterval: h.inst.writeInterval()})
	if err := j.Load(h.inst.cfg.Now(), h.tenure.BaselineAfter(), slots); err != nil {
		event.ClaimWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		return
	}
	h.journal = j
}

func (h *home) slotKey(n int64) string { return fmt.Sprintf("%s%d", h.slotPrefix(), n) }

// writeSlot writes new claims to their slot and queues their asks.
func (h *home) writeSlot(j *claim.Journal, w claim.Write) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	mod, ok, err := h.inst.store.CompareAndSwap(ctx, h.slotKey(w.Slot), w.Value, w.ExpectedMod)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	switch {
	case errors.Is(err, etcd.ErrUnavailable):
		event.ClaimWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		j.WriteNotSent(now, w.ID)
	case err != nil || !ok:
		event.ClaimWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		j.WriteLost(now, w.ID)
	default:
		ids := j.WriteCommitted(now, w.ID, mod)
		if h.journal == j {
			h.queueCommitted(now, ids)
			h.schedule(now)
		}
	}
}

// readSlot reads a slot back to find out whether a write with a lost answer took effect.
func (h *home) readSlot(j *claim.Journal, slot int64) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	kv, ok, err := h.inst.store.Get(ctx, h.slotKey(slot))
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	if err != nil {
		j.ReadBackFailed(now)
		return
	}
	ids, err := j.ReadBackDone(now, slot, kv.Value, kv.ModRevision, ok)
	if err != nil {
		event.ClaimWriteFailed.Log(&h.inst.log).Str("pool", h.name).Err(err).Send()
		return
	}
	if h.journal == j {
		h.queueCommitted(now, ids)
		h.schedule(now)
	}
}

// deleteSlot deletes a slot whose claims the journal no longer keeps.
func (h *home) deleteSlot(j *claim.Journal, s claim.StaleSlot) {
	ctx, cancel := context.WithTimeout(h.inst.ctx, storeTimeout)
	defer cancel()
	if _, err := h.inst.store.CompareAndDelete(ctx, h.slotKey(s.Number), s.Mod); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	j.SlotDeleted(s.Number)
}

// releaseTenure releases the pool to another instance at a planned stop. It retries until the release succeeds, or
// until end.
func (h *home) releaseTenure(end time.Time) {
	for h.inst.cfg.Now().Before(end) {
		h.mu.Lock()
		namedHome := h.tenure.NamedHome()
		rec, expectedMod, due := h.tenure.Release(h.inst.cfg.Now())
		h.mu.Unlock()
		if !namedHome {
			return
		}
		if due {
			h.swapRecord(tenure.Action{Record: rec, ExpectedMod: expectedMod})
			event.HomeReleased.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", rec.Epoch).Send()
		}
		time.Sleep(homeLoopInterval)
	}
}
