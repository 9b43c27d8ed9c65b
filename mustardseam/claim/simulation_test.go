package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
)

const retention = time.Minute

type stored struct {
	value []byte
	mod   int64
}

// world runs homes that follow each other over one store; every right ends before the next home's begins.
type world struct {
	rnd     *rand.Rand
	now     time.Time
	slots   map[int64]stored
	mod     int64
	late    []func() // Writes that take effect later.
	down    bool
	homes   []*home // The last one is current.
	asks    []*ask
	history []porcupine.Operation
	runs    map[string]int
}

type home struct {
	j          *Journal
	skew       time.Duration
	from, till time.Time // Of the right to grant.
	cut        bool
	paused     bool
	answers    []func() // Kept during a pause.
}

type ask struct {
	id, key, from string
	sent          int64
	settled       bool
	running       *home
}

func newWorld(seed uint64) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), slots: map[int64]stored{}, runs: map[string]int{}}
	w.takeOver()
	return w
}

func (w *world) current() *home { return w.homes[len(w.homes)-1] }

func (h *home) clock(w *world) time.Time { return w.now.Add(h.skew) }

func (w *world) takeOver() {
	if w.down {
		return
	}
	if len(w.homes) > 0 {
		w.current().till = w.now.Add(2 * time.Second)
	}
	n := len(w.homes) + 1
	h := &home{skew: time.Duration(w.rnd.IntN(800)-400) * time.Millisecond}
	h.from, h.till = w.now.Add(2970*time.Millisecond), w.now.Add(time.Hour)
	h.j = New(Config{Epoch: uint64(n), Self: fmt.Sprint("home", n), Retention: retention, Slot: 5 * time.Second, MaxSlotBytes: 2 << 10})
	var slots []Slot
	for number, s := range w.slots {
		slots = append(slots, Slot{number, s.value, s.mod})
	}
	if err := h.j.Load(h.clock(w), h.clock(w).Add(2970*time.Millisecond), slots); err != nil {
		panic(err)
	}
	w.homes = append(w.homes, h)
}

func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, h := range w.homes {
			if !h.paused {
				w.drive(h)
			}
		}
		if len(w.late) > 0 && w.rnd.IntN(20) == 0 {
			w.late[0]()
			w.late = w.late[1:]
		}
	}
}

func (w *world) drive(h *home) {
	for _, answer := range h.answers {
		answer()
	}
	h.answers = nil
	if wr, ok := h.j.Pending(h.clock(w)); ok {
		w.write(h, wr)
	}
	if slot, ok := h.j.Unsettled(h.clock(w)); ok && !w.down && !h.cut {
		s, exists := w.slots[slot]
		asks, err := h.j.ReadBack(h.clock(w), slot, s.value, s.mod, exists)
		if err != nil {
			panic(err)
		}
		w.grant(h, asks)
	}
	for _, s := range h.j.Stale(h.clock(w)) {
		if w.slots[s.Number].mod == s.Mod && !w.down && !h.cut {
			delete(w.slots, s.Number)
			h.j.Deleted(s.Number)
		}
	}
}

// write draws what becomes of a write: applied, lost before or after it took effect, or applied late. A home may also be
// paused while the answer is on its way.
func (w *world) write(h *home, wr Write) {
	apply := func() bool {
		if w.slots[wr.Slot].mod != wr.Last {
			return false
		}
		w.mod++
		w.slots[wr.Slot] = stored{wr.Value, w.mod}
		return true
	}
	lose := func() { h.j.Lost(h.clock(w), wr.ID) }
	switch fate := w.rnd.IntN(12); {
	case w.down || h.cut || fate == 0:
		h.answers = append(h.answers, lose)
	case fate == 1:
		w.late = append(w.late, func() { apply() })
		h.answers = append(h.answers, lose)
	case !apply() || fate == 2:
		h.answers = append(h.answers, lose)
	default:
		mod := w.mod
		h.answers = append(h.answers, func() { w.grant(h, h.j.Committed(h.clock(w), wr.ID, mod)) })
	}
}

// grant starts asks as a home does that checks its right first.
func (w *world) grant(h *home, asks []string) {
	for _, id := range asks {
		for _, a := range w.asks {
			if a.id != id || a.settled || !w.holds(h) || !h.j.Start(h.clock(w), id) {
				continue
			}
			if w.rnd.IntN(8) == 0 { // Refused by the server before it ran.
				h.j.NotRun(h.clock(w), id)
				w.record(a, "not-run", "")
			} else {
				a.running = h
				w.runs[a.key]++
				w.record(a, "ran", a.id)
			}
		}
	}
}

func (w *world) holds(h *home) bool { return !w.now.Before(h.from) && w.now.Before(h.till) }

type output struct{ what, ask string }

func (w *world) record(a *ask, what, ran string) {
	a.settled = true
	w.history = append(w.history, porcupine.Operation{
		Input: a.key, Call: a.sent, Output: output{what, ran}, Return: w.now.UnixNano(),
	})
}

// poll asks the current home.
func (w *world) poll(a *ask) {
	h := w.current()
	if h.paused || !w.holds(h) {
		return
	}
	s := ByStore
	if w.down || h.cut {
		s = ByConsent
	}
	d := h.j.Claim(h.clock(w), a.key, a.id, a.from, s)
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

// atMostOnce is the sequential object: a key runs once, and "done" names the ask that ran.
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
		o := out.(output)
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
