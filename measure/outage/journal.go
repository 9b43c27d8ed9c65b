package outage

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
)

func slotKey(n int64) string { return fmt.Sprint(claimsKey, n) }

// loadJournal reads the slots of earlier homes into a new journal. If the read fails, the next
// call of stepTenure retries it.
func (i *instance) loadJournal(epoch uint64) {
	w := i.w
	w.store.call(false, func() func() {
		var slots []claim.Slot
		for key, it := range w.store.keys {
			if name, ok := strings.CutPrefix(key, claimsKey); ok {
				n, _ := strconv.ParseInt(name, 10, 64)
				slots = append(slots, claim.Slot{Number: n, Value: it.value.([]byte), Mod: it.mod})
			}
		}
		return func() {
			if i.journal != nil || !i.tenure.NamedHome() {
				return
			}
			j := claim.New(claim.Config{Epoch: epoch, Self: i.id})
			if err := j.Load(w.Clock.Now(), i.tenure.BaselineAfter(), slots); err == nil {
				i.journal, i.epoch = j, epoch
			}
		}
	}, func() {})
}

// driveJournal executes the journal's store calls and the pool's decisions, and settles the claims of failed instances.
func (i *instance) driveJournal() {
	if j := i.journal; j != nil {
		i.writeSlot(j)
		i.readBackSlot(j)
		for _, id := range j.Owners() {
			for _, o := range i.w.instances {
				if o.id == id && o.dead && i.w.Clock.Since()-o.diedAt > suspicionTimeout {
					j.SettleFailedOwner(i.w.Clock.Now(), id)
				}
			}
		}
	}
	i.grantPermits()
}

func (i *instance) writeSlot(j *claim.Journal) {
	w := i.w
	wr, ok := j.NextWrite(w.Clock.Now())
	if !ok {
		return
	}
	w.store.call(true, func() func() {
		mod, ok := w.store.swap(slotKey(wr.Slot), wr.Value, wr.ExpectedMod)
		if !ok {
			return func() { j.WriteLost(w.Clock.Now(), wr.ID) }
		}
		return func() { j.WriteCommitted(w.Clock.Now(), wr.ID, mod) }
	}, func() { j.WriteLost(w.Clock.Now(), wr.ID) })
}

func (i *instance) readBackSlot(j *claim.Journal) {
	w := i.w
	slot, ok := j.ReadBackDue(w.Clock.Now())
	if !ok {
		return
	}
	w.store.call(false, func() func() {
		it, exists := w.store.keys[slotKey(slot)]
		value, _ := it.value.([]byte)
		return func() {
			// Only journals write slots, so decoding cannot fail.
			_, _ = j.ReadBackDone(w.Clock.Now(), slot, value, it.mod, exists)
		}
	}, func() { j.ReadBackFailed(w.Clock.Now()) })
}
