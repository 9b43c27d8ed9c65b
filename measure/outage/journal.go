package outage

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
)

func slotKey(n int64) string { return fmt.Sprint(claimsKey, n) }

// load reads the slots of earlier homes into a new journal; it is tried again at the next step when the read fails.
func (i *instance) load(epoch uint64) {
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

// drive carries out the journal's store calls and the pool's decisions, and settles claims of failed instances.
func (i *instance) drive() {
	if j := i.journal; j != nil {
		i.write(j)
		i.settle(j)
		for _, id := range j.Owners() {
			for _, o := range i.w.instances {
				if o.id == id && o.dead && i.w.Clock.Since()-o.diedAt > suspicion {
					j.SettleFailedOwner(i.w.Clock.Now(), id)
				}
			}
		}
	}
	i.decide()
}

func (i *instance) write(j *claim.Journal) {
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

func (i *instance) settle(j *claim.Journal) {
	w := i.w
	slot, ok := j.ReadBackDue(w.Clock.Now())
	if !ok {
		return
	}
	w.store.call(false, func() func() {
		it, exists := w.store.keys[slotKey(slot)]
		value, _ := it.value.([]byte)
		return func() {
			// Slots are written by journals only, so that they can be decoded.
			_, _ = j.ReadBackDone(w.Clock.Now(), slot, value, it.mod, exists)
		}
	}, func() { j.ReadBackFailed(w.Clock.Now()) })
}
