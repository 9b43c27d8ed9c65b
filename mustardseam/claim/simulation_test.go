package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
)

const retention = time.Minute

type storedSlot struct {
	value []byte
	mod   int64
}

// simulation runs successive homes over one store. Each home's right ends before that of the next home begins.
type simulation struct {
	rand       *rand.Rand
	now        time.Time
	slots      map[int64]storedSlot
	mod        int64
	lateWrites []func() // Lost writes that take effect later.
	storeDown  bool
	homes      []*simulatedHome // The last one is the current home.
	asks       []*simulatedAsk
	history    []porcupine.Operation // Settled asks, for the linearizability check.
	runCount   map[string]int        // Number of runs by key.
}

type simulatedHome struct {
	journal               *Journal
	clockSkew             time.Duration // Difference of the home's clock from the simulated time.
	rightFrom, rightUntil time.Time     // Bounds of the right to grant.
	storeCut              bool          // The store is unreachable from this home.
	paused                bool
	delayedAnswers        []func() // Store answers that arrive after the pause.
}

type simulatedAsk struct {
	id, key, from string
	sentAt        int64 // Unix nanoseconds.
	settled       bool
	running       *simulatedHome // Home that started the ask; nil if none.
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), slots: map[int64]storedSlot{}, runCount: map[string]int{}}
	w.takeOver()
	return w
}

func (w *simulation) current() *simulatedHome { return w.homes[len(w.homes)-1] }

func (h *simulatedHome) clock(w *simulation) time.Time { return w.now.Add(h.clockSkew) }

func (w *simulation) takeOver() {
	if w.storeDown {
		return
	}
	if len(w.homes) > 0 {
		w.current().rightUntil = w.now.Add(2 * time.Second)
	}
	n := len(w.homes) + 1
	h := &simulatedHome{clockSkew: time.Duration(w.rand.IntN(800)-400) * time.Millisecond}
	h.rightFrom, h.rightUntil = w.now.Add(2970*time.Millisecond), w.now.Add(time.Hour)
	h.journal = New(Config{Epoch: uint64(n), Self: fmt.Sprint("home", n), Retention: retention, SlotDuration: 5 * time.Second, MaxSlotBytes: 2 << 10})
	var slots []Slot
	for number, s := range w.slots {
		slots = append(slots, Slot{number, s.value, s.mod})
	}
	if err := h.journal.Load(h.clock(w), h.clock(w).Add(2970*time.Millisecond), slots); err != nil {
		panic(err)
	}
	w.homes = append(w.homes, h)
}

func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, h := range w.homes {
			if !h.paused {
				w.driveHome(h)
			}
		}
		if len(w.lateWrites) > 0 && w.rand.IntN(20) == 0 {
			w.lateWrites[0]()
			w.lateWrites = w.lateWrites[1:]
		}
	}
}

func (w *simulation) driveHome(h *simulatedHome) {
	for _, answer := range h.delayedAnswers {
		answer()
	}
	h.delayedAnswers = nil
	if wr, ok := h.journal.Pending(h.clock(w)); ok {
		w.simulateWrite(h, wr)
	}
	if slot, ok := h.journal.Unsettled(h.clock(w)); ok && !w.storeDown && !h.storeCut {
		s, exists := w.slots[slot]
		asks, err := h.journal.ReadBack(h.clock(w), slot, s.value, s.mod, exists)
		if err != nil {
			panic(err)
		}
		w.grant(h, asks)
	}
	for _, s := range h.journal.Stale(h.clock(w)) {
		if w.slots[s.Number].mod == s.Mod && !w.storeDown && !h.storeCut {
			delete(w.slots, s.Number)
			h.journal.Deleted(s.Number)
		}
	}
}

// simulateWrite draws the fate of a write: applied, lost before or after it took effect, or applied late. A home may
// also be paused before the answer arrives.
func (w *simulation) simulateWrite(h *simulatedHome, wr Write) {
	apply := func() bool {
		if w.slots[wr.Slot].mod != wr.Last {
			return false
		}
		w.mod++
		w.slots[wr.Slot] = storedSlot{wr.Value, w.mod}
		return true
	}
	lose := func() { h.journal.Lost(h.clock(w), wr.ID) }
	switch fate := w.rand.IntN(12); {
	case w.storeDown || h.storeCut || fate == 0:
		h.delayedAnswers = append(h.delayedAnswers, lose)
	case fate == 1:
		w.lateWrites = append(w.lateWrites, func() { apply() })
		h.delayedAnswers = append(h.delayedAnswers, lose)
	case !apply() || fate == 2:
		h.delayedAnswers = append(h.delayedAnswers, lose)
	default:
		mod := w.mod
		h.delayedAnswers = append(h.delayedAnswers, func() { w.grant(h, h.journal.Committed(h.clock(w), wr.ID, mod)) })
	}
}

// grant starts asks like a home that checks its right first.
func (w *simulation) grant(h *simulatedHome, asks []string) {
	for _, id := range asks {
		for _, a := range w.asks {
			if a.id != id || a.settled || !w.holdsRight(h) || !h.journal.Start(h.clock(w), id) {
				continue
			}
			if w.rand.IntN(8) == 0 { // Refused by the backend server before it ran.
				h.journal.NotRun(h.clock(w), id)
				w.record(a, "not-run", "")
			} else {
				a.running = h
				w.runCount[a.key]++
				w.record(a, "ran", a.id)
			}
		}
	}
}

func (w *simulation) holdsRight(h *simulatedHome) bool {
	return !w.now.Before(h.rightFrom) && w.now.Before(h.rightUntil)
}

type operationOutput struct{ what, ask string }

func (w *simulation) record(a *simulatedAsk, what, ran string) {
	a.settled = true
	w.history = append(w.history, porcupine.Operation{
		Input: a.key, Call: a.sentAt, Output: operationOutput{what, ran}, Return: w.now.UnixNano(),
	})
}

// poll claims the key of an ask at the current home.
func (w *simulation) poll(a *simulatedAsk) {
	h := w.current()
	if h.paused || !w.holdsRight(h) {
		return
	}
	s := ByStore
	if w.storeDown || h.storeCut {
		s = ByConsent
	}
	d := h.journal.Claim(h.clock(w), a.key, a.id, a.from, s)
	switch d.Result {
	case Proceed:
		w.grant(h, []string{a.id})
	case Done:
		w.record(a, "done", d.Request)
	case InProgress, Expired, Unknown, Unavailable:
		w.record(a, d.Result.String(), "")
	case Wait:
	}
}

// atMostOnce is the sequential specification: a key runs at most once, and "done" names the ask that ran.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Input] = append(byKey[o.Input], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, out any) (bool, any) {
		o := out.(operationOutput)
		switch o.what {
		case "ran":
			return state == "", o.ask
		case "done":
			return state == o.ask, state
		default:
			return true, state
		}
	},
}
