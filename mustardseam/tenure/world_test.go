package tenure

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	tick     = 20 * time.Millisecond
	timeout  = time.Second     // Of every call.
	listLag  = 2 * time.Second // Until the platform's list shows that an instance ended.
	silence  = 1500 * time.Millisecond
	clusters = 4
)

type event struct {
	at time.Duration
	do func()
}

// world runs several instances over one store with faults, in fake time.
type world struct {
	rnd    *rand.Rand
	now    time.Duration
	events []event
	nodes  []*node
	ended  []*node
	starts int

	rec                    Record
	mod                    int64
	exists                 bool
	down, slow, loseAnswer bool
}

type node struct {
	*Tenure
	w            *world
	slot         int
	rate         float64 // Of the clock.
	pausedTill   time.Duration
	noStoreTill  time.Duration
	cutTill      [clusters]time.Duration // By slot of the peer that nothing reaches or comes from.
	endedAt      time.Duration           // 0 while it runs.
	heard        map[*node]time.Duration
	leaving      bool
	granted      time.Duration // Last moment with a right to grant.
	grantedShare int
}

func newWorld(seed uint64) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range clusters {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

func (w *world) start(slot int) {
	if old := w.nodes[slot]; old != nil {
		old.endedAt = w.now
		w.ended = append(w.ended, old)
	}
	w.starts++
	self := Candidate{ID: strconv.Itoa(w.starts), Address: strconv.Itoa(slot)}
	rate := 0.955 + 0.09*w.rnd.Float64()
	w.nodes[slot] = &node{Tenure: New(Config{Self: self}), w: w, slot: slot, rate: rate, heard: map[*node]time.Duration{}}
}

func (w *world) after(d time.Duration, do func()) { w.events = append(w.events, event{w.now + d, do}) }

func (w *world) delay() time.Duration {
	if w.slow {
		return time.Duration(w.rnd.Int64N(int64(1600 * time.Millisecond)))
	}
	return time.Duration(w.rnd.Int64N(int64(10 * time.Millisecond)))
}

func (w *world) advance() {
	w.now += tick
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at <= w.now {
			e.do()
		} else {
			w.events = append(w.events, e)
		}
	}
	for _, n := range w.nodes {
		if w.now >= n.pausedTill {
			n.step()
		}
	}
	for _, n := range w.nodes {
		if w.now >= n.pausedTill && n.MayGrant(n.clock()) {
			n.granted = w.now
			n.grantedShare = n.Share(n.clock())
		}
	}
}

// rights sums the shares under which a request can be started now: of instances that may grant, and of those that
// granted less than a start window ago.
func (w *world) rights() float64 {
	sum := 0.0
	for _, n := range append(w.nodes[:len(w.nodes):len(w.nodes)], w.ended...) {
		if n.granted > 0 && w.now < n.granted+700*time.Millisecond {
			sum += 1 / float64(n.grantedShare)
		}
	}
	return sum
}

func (w *world) home() bool {
	for _, n := range w.nodes {
		if n.MayGrant(n.clock()) && n.Share(n.clock()) == 1 {
			return true
		}
	}
	return false
}

// stop begins a planned stop.
func (n *node) stop() {
	if n.w.now >= n.pausedTill {
		n.Stop(n.clock())
		n.leaving = true
	}
}

func (w *world) heal() {
	w.down, w.slow, w.loseAnswer = false, false, false
	for i, n := range w.nodes {
		if n.leaving {
			w.start(i)
		}
		n = w.nodes[i]
		n.pausedTill, n.noStoreTill, n.cutTill = 0, 0, [clusters]time.Duration{}
	}
}

func (n *node) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(n.w.now) * n.rate))
}

// deliver calls do now, or after the pause of the instance.
func (n *node) deliver(do func()) {
	if n.endedAt > 0 {
		return
	}
	if n.w.now < n.pausedTill {
		n.w.after(n.pausedTill-n.w.now, func() { n.deliver(do) })
		return
	}
	do()
}

func (n *node) reaches(m *node) bool {
	return n.w.now >= n.cutTill[m.slot] && n.w.now >= m.cutTill[n.slot]
}

// isolate cuts the instance off from all peers.
func (n *node) isolate(till time.Duration) {
	for i := range n.cutTill {
		n.cutTill[i] = till
	}
}

func (n *node) step() {
	for _, m := range n.w.nodes {
		if m != n && n.reaches(m) && n.w.now >= m.pausedTill {
			n.heard[m] = n.w.now
			if n.w.rnd.IntN(25) == 0 { // One heartbeat in 500 ms.
				n.SeenEpoch(n.clock(), m.seen)
				if ref, ok := m.HomeRef(); ok {
					n.SeenHome(n.clock(), ref)
				}
			}
		}
	}
	if n.leaving {
		if rec, last, ok := n.Release(n.clock()); ok {
			n.swapRecord(Action{Record: rec, Last: last}, n.clock())
		}
	}
	for _, a := range n.Step(n.clock(), n.view()) {
		started := n.clock()
		switch a.Kind {
		case Read:
			n.read(started)
		case Swap:
			n.swapRecord(a, started)
		case Ask:
			n.askAll(a, started)
		}
	}
}

func (n *node) view() View {
	v := View{Listed: map[string]bool{}, Suspected: map[string]bool{}, Leaving: map[string]bool{}}
	for _, m := range n.w.ended {
		v.Listed[m.cfg.Self.ID] = n.w.now < m.endedAt+listLag && n.heard[n.w.nodes[m.slot]] == 0
		v.Suspected[m.cfg.Self.ID] = n.w.now > n.heard[m]+silence
	}
	for _, m := range n.w.nodes {
		id := m.cfg.Self.ID
		v.Listed[id] = true
		v.Leaving[id] = m.leaving
		v.Suspected[id] = m != n && n.w.now > n.heard[m]+silence
		if !v.Suspected[id] && !m.leaving {
			v.Preferred = append(v.Preferred, m.cfg.Self)
		}
	}
	return v
}

// call runs do at the store and then answer here, or fail when no answer arrives in time. The call may take effect even
// then, and as late as its delay says.
func (n *node) call(do func() (answer func()), fail func()) {
	w := n.w
	there, back := w.delay(), w.delay()
	unreachable := w.down || w.now < n.noStoreTill
	lost := unreachable || there+back > timeout || w.loseAnswer && w.rnd.IntN(2) == 0
	if lost {
		w.after(timeout, func() { n.deliver(fail) })
	}
	w.after(there, func() {
		if w.down || unreachable && w.rnd.IntN(2) == 0 {
			if !lost { // The store went down meanwhile.
				w.after(timeout-there, func() { n.deliver(fail) })
			}
			return
		}
		answer := do()
		if !lost {
			w.after(back, func() { n.deliver(answer) })
		}
	})
}

func (n *node) read(started time.Time) {
	n.call(func() func() {
		rec, mod, exists := n.w.rec, n.w.mod, n.w.exists
		return func() { n.Observed(n.clock(), started, rec, mod, exists) }
	}, func() { n.StoreFailed(n.clock()) })
}

func (n *node) swapRecord(a Action, started time.Time) {
	n.call(func() func() {
		if n.w.mod != a.Last {
			return func() { n.SwapConflict(n.clock()) }
		}
		n.w.mod++
		n.w.rec, n.w.exists = a.Record, true
		mod := n.w.mod
		return func() { n.Swapped(n.clock(), started, a.Record, mod) }
	}, func() { n.SwapLost(n.clock()) })
}

func (n *node) askAll(a Action, started time.Time) {
	for _, m := range n.w.nodes {
		if !contains(a.To, m.cfg.Self.ID) || !n.reaches(m) {
			continue
		}
		n.w.after(n.w.delay(), func() {
			m.deliver(func() {
				given, epoch := m.Consent(m.clock(), n.cfg.Self.ID, a.Epoch, a.Hold)
				n.w.after(n.w.delay(), func() {
					n.deliver(func() {
						if given {
							n.Consented(n.clock(), started, m.cfg.Self.ID)
						} else {
							n.Denied(n.clock(), m.cfg.Self.ID, epoch)
						}
					})
				})
			})
		})
	}
}
