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
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), slots: map[int64]storedSlot{}, runCount: map[string]int{}}
	sim.takeOver()
	return sim
}

func (sim *simulation) current() *simulatedHome { return sim.homes[len(sim.homes)-1] }

func (h *simulatedHome) clock(sim *simulation) time.Time { return sim.now.Add(h.clockSkew) }

func (sim *simulation) takeOver() {
	if sim.storeDown {
		return
	}
	if len(sim.homes) > 0 {
		sim.current().rightUntil = sim.now.Add(2 * time.Second)
	}
	n := len(sim.homes) + 1
	h := &simulatedHome{clockSkew: time.Duration(sim.rand.IntN(800)-400) * time.Millisecond}
	h.rightFrom, h.rightUntil = sim.now.Add(2970*time.Millisecond), sim.now.Add(time.Hour)
	h.journal = New(Config{Epoch: uint64(n), Self: fmt.Sprint("home", n), Retention: retention, SlotDuration: 5 * time.Second, MaxSlotBytes: 2 << 10})
	var slots []Slot
	for number, s := range sim.slots {
		slots = append(slots, Slot{number, s.value, s.mod})
	}
	if err := h.journal.Load(h.clock(sim), h.clock(sim).Add(2970*time.Millisecond), slots); err != nil {
		panic(err)
	}
	sim.homes = append(sim.homes, h)
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(50 * time.Millisecond)
		for _, h := range sim.homes {
			if !h.paused {
				sim.driveHome(h)
			}
		}
		if len(sim.lateWrites) > 0 && sim.rand.IntN(20) == 0 {
			sim.lateWrites[0]()
			sim.lateWrites = sim.lateWrites[1:]
		}
	}
}

func (sim *simulation) driveHome(h *simulatedHome) {
	for _, answer := range h.delayedAnswers {
		answer()
	}
	h.delayedAnswers = nil
	if wr, ok := h.journal.NextWrite(h.clock(sim)); ok {
		sim.simulateWrite(h, wr)
	}
	if slot, ok := h.journal.ReadBackDue(h.clock(sim)); ok && !sim.storeDown && !h.storeCut {
		s, exists := sim.slots[slot]
		asks, err := h.journal.ReadBackDone(h.clock(sim), slot, s.value, s.mod, exists)
		if err != nil {
			panic(err)
		}
		sim.grant(h, asks)
	}
	for _, s := range h.journal.StaleSlots(h.clock(sim)) {
		if sim.slots[s.Number].mod == s.Mod && !sim.storeDown && !h.storeCut {
			delete(sim.slots, s.Number)
			h.journal.SlotDeleted(s.Number)
		}
	}
}

// simulateWrite draws the fate of a write: applied, lost before or after it took effect, or applied late. A home may
// also be paused before the answer arrives.
func (sim *simulation) simulateWrite(h *simulatedHome, wr Write) {
	apply := func() bool {
		if sim.slots[wr.Slot].mod != wr.ExpectedMod {
			return false
		}
		sim.mod++
		sim.slots[wr.Slot] = storedSlot{wr.Value, sim.mod}
		return true
	}
	lose := func() { h.journal.WriteLost(h.clock(sim), wr.ID) }
	switch fate := sim.rand.IntN(12); {
	case sim.storeDown || h.storeCut || fate == 0:
		h.delayedAnswers = append(h.delayedAnswers, lose)
	case fate == 1:
		sim.lateWrites = append(sim.lateWrites, func() { apply() })
		h.delayedAnswers = append(h.delayedAnswers, lose)
	case !apply() || fate == 2:
		h.delayedAnswers = append(h.delayedAnswers, lose)
	default:
		mod := sim.mod
		h.delayedAnswers = append(h.delayedAnswers, func() { sim.grant(h, h.journal.WriteCommitted(h.clock(sim), wr.ID, mod)) })
	}
}

// grant starts asks like a home that checks its right first.
func (sim *simulation) grant(h *simulatedHome, asks []string) {
	for _, id := range asks {
		for _, a := range sim.asks {
			if a.id != id || a.settled || !sim.holdsRight(h) || !h.journal.Start(h.clock(sim), id) {
				continue
			}
			if sim.rand.IntN(8) == 0 { // Refused by the backend server before it ran.
				h.journal.MarkNotRun(h.clock(sim), id)
				sim.record(a, "not-run", "")
			} else {
				a.running = h
				sim.runCount[a.key]++
				sim.record(a, "ran", a.id)
			}
		}
	}
}

func (sim *simulation) holdsRight(h *simulatedHome) bool {
	return !sim.now.Before(h.rightFrom) && sim.now.Before(h.rightUntil)
}

type operationOutput struct{ what, ask string }

func (sim *simulation) record(a *simulatedAsk, what, ran string) {
	a.settled = true
	sim.history = append(sim.history, porcupine.Operation{
		Input: a.key, Call: a.sentAt, Output: operationOutput{what, ran}, Return: sim.now.UnixNano(),
	})
}

// poll claims the key of an ask at the current home.
func (sim *simulation) poll(a *simulatedAsk) {
	h := sim.current()
	if h.paused || !sim.holdsRight(h) {
		return
	}
	s := ByStore
	if sim.storeDown || h.storeCut {
		s = ByConsent
	}
	d := h.journal.Claim(h.clock(sim), a.key, a.id, a.from, s)
	switch d.Result {
	case Proceed:
		sim.grant(h, []string{a.id})
	case Done:
		sim.record(a, "done", d.Request)
	case InProgress, Expired, Unknown, Unavailable:
		sim.record(a, d.Result.String(), "")
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
