package fair

import "slices"

// Config bounds a queue; a bound of 0 stands for none.
type Config struct {
	MaxWaiting int     // Items.
	MaxTokens  float64 // Sum of the items' costs.
}

// Queue holds waiting requests; it is not safe for concurrent use.
type Queue struct {
	cfg     Config
	weights map[string]float64
	tiers   []*tier // By rank, the highest tier first.
	waiting int
	tokens  float64
	since   uint64   // Last number given to a flow that began to wait.
	seq     uint64   // Last number given to an item.
	flows   []*flow  // Unused ones.
	entries []*entry // Unused ones.
}

// maxFree bounds the unused flows and entries that are kept for reuse.
const maxFree = 1024

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg}
}

// Configure changes the bounds and the weights of the teams; a team without a weight has weight 1.
func (q *Queue) Configure(cfg Config, weights map[string]float64) {
	q.cfg = cfg
	q.weights = weights
	for _, t := range q.tiers {
		t.weight = 0
		for name, f := range t.root.children {
			f.weight = q.weight(name)
			if f.waiting > 0 {
				t.weight += f.weight
			}
		}
	}
}

func (q *Queue) weight(team string) float64 {
	if w := q.weights[team]; w > 0 {
		return w
	}
	return 1
}

// Push puts the item into the queue without regard to the bounds; Admit keeps to them.
func (q *Queue) Push(it *Item) {
	q.seq++
	it.seq = q.seq
	q.insert(it, false)
}

// Return puts an item that was popped and not served back at the front, and takes its charge back.
func (q *Queue) Return(it *Item) {
	q.insert(it, true)
	q.Correct(it.Tier, it.Team, it.Group, -it.Cost)
}

func (q *Queue) insert(it *Item, front bool) {
	q.tier(it.Tier).insert(it, front)
	q.waiting++
	q.tokens += it.Cost
}

// Pop removes and returns the item that is served next, or nil; lanes for which blocked is true are passed over. The
// item's cost is charged to its team and group.
func (q *Queue) Pop(blocked func(lane string) bool) *Item {
	for _, t := range q.tiers {
		e := t.best(blocked)
		if e == nil {
			continue
		}
		it := e.next()
		group := it.leaf.flow
		group.charge(it.Cost)
		group.parent.charge(it.Cost)
		q.Remove(it)
		return it
	}
	return nil
}

// Remove takes a waiting item out of the queue without a charge.
func (q *Queue) Remove(it *Item) {
	if it.leaf == nil {
		return
	}
	t := q.tier(it.Tier)
	t.remove(it)
	q.waiting--
	q.tokens -= it.Cost
	if q.waiting == 0 {
		q.tokens = 0 // Drops the rounding errors of the sum.
	}
}

// Correct charges the difference between the real and the estimated cost of an item that was popped. A team that
// does not wait is never credited.
func (q *Queue) Correct(rank int, team, group string, delta float64) {
	if t := q.find(rank); t != nil {
		t.correct(team, group, delta)
	}
}

func (q *Queue) find(rank int) *tier {
	for _, t := range q.tiers {
		if t.rank == rank {
			return t
		}
	}
	return nil
}

// tier returns the tier of the rank, which is created when it does not exist.
func (q *Queue) tier(rank int) *tier {
	if t := q.find(rank); t != nil {
		return t
	}
	t := &tier{queue: q, rank: rank, root: &flow{index: -1, weight: 1, children: map[string]*flow{}}}
	at, _ := slices.BinarySearchFunc(q.tiers, rank, func(t *tier, rank int) int { return t.rank - rank })
	q.tiers = slices.Insert(q.tiers, at, t)
	return t
}

func (q *Queue) newFlow() *flow {
	if n := len(q.flows); n > 0 {
		f := q.flows[n-1]
		q.flows = q.flows[:n-1]
		return f
	}
	return &flow{children: map[string]*flow{}}
}

func (q *Queue) freeFlow(f *flow) {
	if len(q.flows) < maxFree {
		*f = flow{children: f.children, at: f.at[:0], idle: f.idle[:0]}
		q.flows = append(q.flows, f)
	}
}

func (q *Queue) newEntry() *entry {
	if n := len(q.entries); n > 0 {
		e := q.entries[n-1]
		q.entries = q.entries[:n-1]
		return e
	}
	return &entry{}
}

func (q *Queue) freeEntry(e *entry) {
	if len(q.entries) < maxFree {
		*e = entry{heap: e.heap[:0]}
		q.entries = append(q.entries, e)
	}
}
