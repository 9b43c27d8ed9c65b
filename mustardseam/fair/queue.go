package fair

import "slices"

// Config holds the limits of a queue. A limit of 0 means no limit.
type Config struct {
	MaxWaiting int     // Maximum number of waiting items.
	MaxTokens  float64 // Maximum total cost of the waiting items.
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	cfg           Config
	weights       map[string]float64 // Weights of the teams by name.
	tiers         []*tier            // Tiers by ascending rank, the highest tier first.
	waiting       int                // Number of waiting items.
	waitingCost   float64            // Total cost of the waiting items.
	flowSeq       uint64             // Last sequence number given to a flow that started waiting.
	itemSeq       uint64             // Last sequence number given to an item.
	freeFlows     []*flow            // Unused flows, kept for reuse.
	freeLaneFlows []*laneFlow        // Unused laneFlows, kept for reuse.
}

// maxFree is the maximum number of unused flows, and of unused laneFlows, that are kept for reuse.
const maxFree = 1024

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg}
}

// Configure changes the limits and the team weights. A team without a positive weight has weight 1.
func (q *Queue) Configure(cfg Config, weights map[string]float64) {
	q.cfg = cfg
	q.weights = weights
	for _, t := range q.tiers {
		t.waitingWeight = 0
		for name, f := range t.root.children {
			f.weight = q.weightOf(name)
			if f.waiting > 0 {
				t.waitingWeight += f.weight
			}
		}
	}
}

func (q *Queue) weightOf(team string) float64 {
	if w := q.weights[team]; w > 0 {
		return w
	}
	return 1
}

// Push adds the item to the queue without checking the limits; see Admit.
func (q *Queue) Push(it *Item) {
	q.itemSeq++
	it.seq = q.itemSeq
	q.insert(it, false)
}

// Requeue puts an item that was popped but not served back at the front of its group and lane, and reverts the charge.
func (q *Queue) Requeue(it *Item) {
	q.insert(it, true)
	q.CorrectCost(it.Tier, it.Team, it.Group, -it.Cost)
}

func (q *Queue) insert(it *Item, front bool) {
	q.tierFor(it.Tier).insert(it, front)
	q.waiting++
	q.waitingCost += it.Cost
}

// Pop removes and returns the item that is served next, or nil. It skips the lanes for which skip returns true. The
// cost of the item is charged to its team and group.
func (q *Queue) Pop(skip func(lane string) bool) *Item {
	for _, t := range q.tiers {
		e := t.bestLaneFlow(skip)
		if e == nil {
			continue
		}
		it := e.nextItem()
		group := it.laneFlow.flow
		group.charge(it.Cost)
		group.parent.charge(it.Cost)
		q.Remove(it)
		return it
	}
	return nil
}

// Remove removes a waiting item from the queue without charging its cost.
func (q *Queue) Remove(it *Item) {
	if it.laneFlow == nil {
		return
	}
	t := q.tierFor(it.Tier)
	t.remove(it)
	q.waiting--
	q.waitingCost -= it.Cost
	if q.waiting == 0 {
		q.waitingCost = 0 // Discards the accumulated rounding error.
	}
}

// CorrectCost charges the difference between the actual and the estimated cost of an item that was popped. A team
// without waiting items gets no credit for a negative difference.
func (q *Queue) CorrectCost(rank int, team, group string, delta float64) {
	if t := q.findTier(rank); t != nil {
		t.correctCost(team, group, delta)
	}
}

// findTier returns the tier of the rank, or nil.
func (q *Queue) findTier(rank int) *tier {
	for _, t := range q.tiers {
		if t.rank == rank {
			return t
		}
	}
	return nil
}

// tierFor returns the tier of the rank, creating it if needed.
func (q *Queue) tierFor(rank int) *tier {
	if t := q.findTier(rank); t != nil {
		return t
	}
	t := &tier{queue: q, rank: rank, root: &flow{idleIndex: -1, weight: 1, children: map[string]*flow{}}}
	index, _ := slices.BinarySearchFunc(q.tiers, rank, func(t *tier, rank int) int { return t.rank - rank })
	q.tiers = slices.Insert(q.tiers, index, t)
	return t
}

func (q *Queue) newFlow() *flow {
	if n := len(q.freeFlows); n > 0 {
		f := q.freeFlows[n-1]
		q.freeFlows = q.freeFlows[:n-1]
		return f
	}
	return &flow{children: map[string]*flow{}}
}

func (q *Queue) releaseFlow(f *flow) {
	if len(q.freeFlows) < maxFree {
		*f = flow{children: f.children, laneFlows: f.laneFlows[:0], idleChildren: f.idleChildren[:0]}
		q.freeFlows = append(q.freeFlows, f)
	}
}

func (q *Queue) newLaneFlow() *laneFlow {
	if n := len(q.freeLaneFlows); n > 0 {
		e := q.freeLaneFlows[n-1]
		q.freeLaneFlows = q.freeLaneFlows[:n-1]
		return e
	}
	return &laneFlow{}
}

func (q *Queue) releaseLaneFlow(e *laneFlow) {
	if len(q.freeLaneFlows) < maxFree {
		*e = laneFlow{children: e.children[:0]}
		q.freeLaneFlows = append(q.freeLaneFlows, e)
	}
}
