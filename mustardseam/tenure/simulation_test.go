package tenure

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	tick          = 20 * time.Millisecond
	callTimeout   = time.Second             // Timeout of every call.
	listLag       = 2 * time.Second         // Time until the platform's list no longer shows an ended instance.
	suspectAfter  = 1500 * time.Millisecond // Time without heartbeats after which an instance is suspected.
	instanceCount = 4
)

// scheduledEvent is a function that runs at a simulated time.
type scheduledEvent struct {
	at time.Duration
	do func()
}

// simulation runs several instances with one store and injected faults, in simulated time.
type simulation struct {
	rand          *rand.Rand
	now           time.Duration // Simulated time since the start, independent of the instances' clocks.
	pendingEvents []scheduledEvent
	nodes         []*node // Running instances, by slot.
	ended         []*node // Instances that were replaced in their slot.
	startCount    int     // Number of instances started; also the last incarnation.

	rec                                   Record
	mod                                   int64
	exists                                bool
	storeDown, storeSlowCalls, loseAnswer bool
}

// node is one instance of the simulation.
type node struct {
	*Tenure
	w             *simulation
	slot          int                          // Index in simulation.nodes; stands for the address.
	clockRate     float64                      // Rate of the instance's clock relative to simulated time.
	pausedUntil   time.Duration                // The process is suspended until this time.
	storeCutUntil time.Duration                // The store is unreachable until this time.
	cutUntil      [instanceCount]time.Duration // By slot of the peer: no message passes in either direction until this time.
	endedAt       time.Duration                // 0 while the instance runs.
	heardAt       map[*node]time.Duration      // Last heartbeat received from each node.
	leaving       bool                         // A planned stop has begun.
	grantedAt     time.Duration                // Last time at which the instance had a right to grant.
	grantedShare  int                          // Share at grantedAt.
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range instanceCount {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

func (w *simulation) start(slot int) {
	if old := w.nodes[slot]; old != nil {
		old.endedAt = w.now
		w.ended = append(w.ended, old)
	}
	w.startCount++
	self := Candidate{ID: strconv.Itoa(w.startCount), Address: strconv.Itoa(slot)}
	rate := 0.955 + 0.09*w.rand.Float64()
	w.nodes[slot] = &node{Tenure: New(Config{Self: self}), w: w, slot: slot, clockRate: rate, heardAt: map[*node]time.Duration{}}
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.pendingEvents = append(w.pendingEvents, scheduledEvent{w.now + d, do})
}

func (w *simulation) delay() time.Duration {
	if w.storeSlowCalls {
		return time.Duration(w.rand.Int64N(int64(1600 * time.Millisecond)))
	}
	return time.Duration(w.rand.Int64N(int64(10 * time.Millisecond)))
}

// advance moves the simulated time forward by one tick.
func (w *simulation) advance() {
	w.now += tick
	due := w.pendingEvents
	w.pendingEvents = nil
	for _, e := range due {
		if e.at <= w.now {
			e.do()
		} else {
			w.pendingEvents = append(w.pendingEvents, e)
		}
	}
	for _, n := range w.nodes {
		if w.now >= n.pausedUntil {
			n.step()
		}
	}
	for _, n := range w.nodes {
		if w.now >= n.pausedUntil && n.MayGrant(n.clock()) {
			n.grantedAt = w.now
			n.grantedShare = n.Share(n.clock())
		}
	}
}

// sumOfShares sums the capacity shares under which a request can be started now: those of instances that may grant,
// and of those that had a right to grant less than one start window (700 ms) ago.
func (w *simulation) sumOfShares() float64 {
	sum := 0.0
	for _, n := range append(w.nodes[:len(w.nodes):len(w.nodes)], w.ended...) {
		if n.grantedAt > 0 && w.now < n.grantedAt+700*time.Millisecond {
			sum += 1 / float64(n.grantedShare)
		}
	}
	return sum
}

// hasHome reports whether an instance may grant as home.
func (w *simulation) hasHome() bool {
	for _, n := range w.nodes {
		if n.MayGrant(n.clock()) && n.Share(n.clock()) == 1 {
			return true
		}
	}
	return false
}

// stop begins a planned stop, unless the instance is paused.
func (n *node) stop() {
	if n.w.now >= n.pausedUntil {
		n.Stop(n.clock())
		n.leaving = true
	}
}

// clearFaults ends all faults and restarts the instances that were stopping.
func (w *simulation) clearFaults() {
	w.storeDown, w.storeSlowCalls, w.loseAnswer = false, false, false
	for i, n := range w.nodes {
		if n.leaving {
			w.start(i)
		}
		n = w.nodes[i]
		n.pausedUntil, n.storeCutUntil, n.cutUntil = 0, 0, [instanceCount]time.Duration{}
	}
}

func (n *node) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(n.w.now) * n.clockRate))
}

// deliver calls do now, or when the pause of the instance ends.
func (n *node) deliver(do func()) {
	if n.endedAt > 0 {
		return
	}
	if n.w.now < n.pausedUntil {
		n.w.schedule(n.pausedUntil-n.w.now, func() { n.deliver(do) })
		return
	}
	do()
}

// reaches reports whether messages pass between the two instances.
func (n *node) reaches(m *node) bool {
	return n.w.now >= n.cutUntil[m.slot] && n.w.now >= m.cutUntil[n.slot]
}

// isolate cuts the instance off from all peers until the given time.
func (n *node) isolate(till time.Duration) {
	for i := range n.cutUntil {
		n.cutUntil[i] = till
	}
}

func (n *node) step() {
	for _, m := range n.w.nodes {
		if m != n && n.reaches(m) && n.w.now >= m.pausedUntil {
			n.heardAt[m] = n.w.now
			if n.w.rand.IntN(25) == 0 { // On average one heartbeat per 500 ms.
				n.SeenEpoch(n.clock(), m.highestEpoch)
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
		v.Listed[m.cfg.Self.ID] = n.w.now < m.endedAt+listLag && n.heardAt[n.w.nodes[m.slot]] == 0
		v.Suspected[m.cfg.Self.ID] = n.w.now > n.heardAt[m]+suspectAfter
	}
	for _, m := range n.w.nodes {
		id := m.cfg.Self.ID
		v.Listed[id] = true
		v.Leaving[id] = m.leaving
		v.Suspected[id] = m != n && n.w.now > n.heardAt[m]+suspectAfter
		if !v.Suspected[id] && !m.leaving {
			v.Preferred = append(v.Preferred, m.cfg.Self)
		}
	}
	return v
}

// call runs do at the store and then the returned answer at the instance, or fail if no answer arrives in time. A
// failed call may still take effect, as late as its simulated delay.
func (n *node) call(do func() (answer func()), fail func()) {
	w := n.w
	there, back := w.delay(), w.delay()
	unreachable := w.storeDown || w.now < n.storeCutUntil
	lost := unreachable || there+back > callTimeout || w.loseAnswer && w.rand.IntN(2) == 0
	if lost {
		w.schedule(callTimeout, func() { n.deliver(fail) })
	}
	w.schedule(there, func() {
		if w.storeDown || unreachable && w.rand.IntN(2) == 0 {
			if !lost { // The store went down after the call was sent.
				w.schedule(callTimeout-there, func() { n.deliver(fail) })
			}
			return
		}
		answer := do()
		if !lost {
			w.schedule(back, func() { n.deliver(answer) })
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
		n.w.schedule(n.w.delay(), func() {
			m.deliver(func() {
				given, epoch := m.Consent(m.clock(), n.cfg.Self.ID, a.Epoch, a.Hold)
				n.w.schedule(n.w.delay(), func() {
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
