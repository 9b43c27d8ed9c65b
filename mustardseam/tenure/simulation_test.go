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
	sim           *simulation
	slot          int                          // Index in simulation.nodes, which also serves as the address.
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
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range instanceCount {
		sim.nodes = append(sim.nodes, nil)
		sim.start(i)
	}
	return sim
}

func (sim *simulation) start(slot int) {
	if old := sim.nodes[slot]; old != nil {
		old.endedAt = sim.now
		sim.ended = append(sim.ended, old)
	}
	sim.startCount++
	self := Candidate{ID: strconv.Itoa(sim.startCount), Address: strconv.Itoa(slot)}
	rate := 0.955 + 0.09*sim.rand.Float64()
	sim.nodes[slot] = &node{Tenure: New(Config{Self: self}), sim: sim, slot: slot, clockRate: rate, heardAt: map[*node]time.Duration{}}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.pendingEvents = append(sim.pendingEvents, scheduledEvent{sim.now + d, do})
}

func (sim *simulation) delay() time.Duration {
	if sim.storeSlowCalls {
		return time.Duration(sim.rand.Int64N(int64(1600 * time.Millisecond)))
	}
	return time.Duration(sim.rand.Int64N(int64(10 * time.Millisecond)))
}

// advance moves the simulated time forward by one tick.
func (sim *simulation) advance() {
	sim.now += tick
	due := sim.pendingEvents
	sim.pendingEvents = nil
	for _, e := range due {
		if e.at <= sim.now {
			e.do()
		} else {
			sim.pendingEvents = append(sim.pendingEvents, e)
		}
	}
	for _, n := range sim.nodes {
		if sim.now >= n.pausedUntil {
			n.step()
		}
	}
	for _, n := range sim.nodes {
		if sim.now >= n.pausedUntil && n.MayGrant(n.clock()) {
			n.grantedAt = sim.now
			n.grantedShare = n.ShareDivisor(n.clock())
		}
	}
}

// sumOfShares sums the capacity shares under which a request can be started now: those of instances that may grant,
// and of those that had a right to grant less than one start window (700 ms) ago.
func (sim *simulation) sumOfShares() float64 {
	sum := 0.0
	for _, n := range append(sim.nodes[:len(sim.nodes):len(sim.nodes)], sim.ended...) {
		if n.grantedAt > 0 && sim.now < n.grantedAt+700*time.Millisecond {
			sum += 1 / float64(n.grantedShare)
		}
	}
	return sum
}

// hasHome reports whether an instance may grant as home.
func (sim *simulation) hasHome() bool {
	for _, n := range sim.nodes {
		if n.MayGrant(n.clock()) && n.ShareDivisor(n.clock()) == 1 {
			return true
		}
	}
	return false
}

// stop begins a planned stop, unless the instance is paused.
func (n *node) stop() {
	if n.sim.now >= n.pausedUntil {
		n.Stop(n.clock())
		n.leaving = true
	}
}

// clearFaults ends all faults and restarts the instances that were stopping.
func (sim *simulation) clearFaults() {
	sim.storeDown, sim.storeSlowCalls, sim.loseAnswer = false, false, false
	for i, n := range sim.nodes {
		if n.leaving {
			sim.start(i)
		}
		n = sim.nodes[i]
		n.pausedUntil, n.storeCutUntil, n.cutUntil = 0, 0, [instanceCount]time.Duration{}
	}
}

func (n *node) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(n.sim.now) * n.clockRate))
}

// deliver calls do now, or when the pause of the instance ends.
func (n *node) deliver(do func()) {
	if n.endedAt > 0 {
		return
	}
	if n.sim.now < n.pausedUntil {
		n.sim.schedule(n.pausedUntil-n.sim.now, func() { n.deliver(do) })
		return
	}
	do()
}

// reaches reports whether messages pass between the two instances.
func (n *node) reaches(m *node) bool {
	return n.sim.now >= n.cutUntil[m.slot] && n.sim.now >= m.cutUntil[n.slot]
}

// isolate cuts the instance off from all peers until the given time.
func (n *node) isolate(till time.Duration) {
	for i := range n.cutUntil {
		n.cutUntil[i] = till
	}
}

func (n *node) step() {
	for _, m := range n.sim.nodes {
		if m != n && n.reaches(m) && n.sim.now >= m.pausedUntil {
			n.heardAt[m] = n.sim.now
			if n.sim.rand.IntN(25) == 0 { // On average one heartbeat per 500 ms.
				n.ObserveEpoch(n.clock(), m.highestEpoch)
				if ref, ok := m.HomeRef(); ok {
					n.ObserveHome(n.clock(), ref)
				}
			}
		}
	}
	if n.leaving {
		if rec, last, ok := n.Release(n.clock()); ok {
			n.swapRecord(Action{Record: rec, ExpectedMod: last}, n.clock())
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
	for _, m := range n.sim.ended {
		v.Listed[m.cfg.Self.ID] = n.sim.now < m.endedAt+listLag && n.heardAt[n.sim.nodes[m.slot]] == 0
		v.Suspected[m.cfg.Self.ID] = n.sim.now > n.heardAt[m]+suspectAfter
	}
	for _, m := range n.sim.nodes {
		id := m.cfg.Self.ID
		v.Listed[id] = true
		v.Leaving[id] = m.leaving
		v.Suspected[id] = m != n && n.sim.now > n.heardAt[m]+suspectAfter
		if !v.Suspected[id] && !m.leaving {
			v.Preferred = append(v.Preferred, m.cfg.Self)
		}
	}
	return v
}

// call runs do at the store and then the returned answer at the instance, or fail if no answer arrives in time. A
// failed call may still take effect, as late as its simulated delay.
func (n *node) call(do func() (answer func()), fail func()) {
	sim := n.sim
	there, back := sim.delay(), sim.delay()
	unreachable := sim.storeDown || sim.now < n.storeCutUntil
	lost := unreachable || there+back > callTimeout || sim.loseAnswer && sim.rand.IntN(2) == 0
	if lost {
		sim.schedule(callTimeout, func() { n.deliver(fail) })
	}
	sim.schedule(there, func() {
		if sim.storeDown || unreachable && sim.rand.IntN(2) == 0 {
			if !lost { // The store went down after the call was sent.
				sim.schedule(callTimeout-there, func() { n.deliver(fail) })
			}
			return
		}
		answer := do()
		if !lost {
			sim.schedule(back, func() { n.deliver(answer) })
		}
	})
}

func (n *node) read(started time.Time) {
	n.call(func() func() {
		rec, mod, exists := n.sim.rec, n.sim.mod, n.sim.exists
		return func() { n.ReadDone(n.clock(), started, rec, mod, exists) }
	}, func() { n.ReadFailed(n.clock()) })
}

func (n *node) swapRecord(a Action, started time.Time) {
	n.call(func() func() {
		if n.sim.mod != a.ExpectedMod {
			return func() { n.SwapConflict(n.clock()) }
		}
		n.sim.mod++
		n.sim.rec, n.sim.exists = a.Record, true
		mod := n.sim.mod
		return func() { n.SwapDone(n.clock(), started, a.Record, mod) }
	}, func() { n.SwapLost(n.clock()) })
}

func (n *node) askAll(a Action, started time.Time) {
	for _, m := range n.sim.nodes {
		if !contains(a.To, m.cfg.Self.ID) || !n.reaches(m) {
			continue
		}
		n.sim.schedule(n.sim.delay(), func() {
			m.deliver(func() {
				given, epoch := m.Consent(m.clock(), n.cfg.Self.ID, a.Epoch, a.ConsentDuration)
				n.sim.schedule(n.sim.delay(), func() {
					n.deliver(func() {
						if given {
							n.ConsentGiven(n.clock(), started, m.cfg.Self.ID)
						} else {
							n.ConsentDenied(n.clock(), m.cfg.Self.ID, epoch)
						}
					})
				})
			})
		})
	}
}
