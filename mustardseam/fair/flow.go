package fair

import "container/heap"

// flow is a team in a tier, a group of a team, or the root of a tier.
type flow struct {
	name         string
	parent       *flow
	children     map[string]*flow
	weight       float64
	startTag     float64     // Start tag of the next item, in tokens per unit of weight.
	minTag       float64     // Lower bound of startTag: the virtual time when the flow last started waiting.
	virtualTime  float64     // Virtual time of the children.
	waitingSeq   uint64      // Sequence number assigned when the flow last started waiting.
	laneFlows    []*laneFlow // One for each lane with waiting items.
	waiting      int         // Number of waiting items.
	waitingCost  float64     // Total cost of the waiting items.
	idleChildren byIdleTag   // Children without waiting items that have had more than their share.
	idleIndex    int         // Index in parent.idleChildren; -1 if not there.
	waitingIndex int         // Index of a team in tier.teamsByWaiting.
	oldest       *Item       // First waiting item of a team in arrival order.
	newest       *Item       // Last waiting item of a team in arrival order.
}

// laneFlowIn returns the flow's laneFlow in the lane, or nil.
func (f *flow) laneFlowIn(lane string) *laneFlow {
	for _, e := range f.laneFlows {
		if e.lane == lane {
			return e
		}
	}
	return nil
}

// setTag sets the start tag and restores the order of the heaps that contain the flow.
func (f *flow) setTag(startTag float64) {
	f.startTag = max(startTag, f.minTag)
	if f.idleIndex >= 0 {
		heap.Fix(&f.parent.idleChildren, f.idleIndex)
	}
	for _, e := range f.laneFlows {
		heap.Fix(&e.parent.children, e.heapIndex)
	}
}

// charge advances the parent's virtual time to the flow's start tag, and the tag by the cost divided by the weight.
func (f *flow) charge(cost float64) {
	f.parent.virtualTime = max(f.parent.virtualTime, f.startTag)
	f.setTag(f.startTag + cost/f.weight)
}

// link adds the item at the end of the team's list.
func (f *flow) link(it *Item) {
	it.older, it.newer = f.newest, nil
	if f.newest == nil {
		f.oldest = it
	} else {
		f.newest.newer = it
	}
	f.newest = it
}

// unlink removes the item from the team's list.
func (f *flow) unlink(it *Item) {
	if it.older == nil {
		f.oldest = it.newer
	} else {
		it.older.newer = it.newer
	}
	if it.newer == nil {
		f.newest = it.older
	} else {
		it.newer.older = it.older
	}
	it.older, it.newer = nil, nil
}

// byIdleTag is a heap of flows without waiting items, by start tag.
type byIdleTag []*flow

func (h byIdleTag) Len() int           { return len(h) }
func (h byIdleTag) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

func (h byIdleTag) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].idleIndex, h[j].idleIndex = i, j
}

// Push implements heap.Interface.
func (h *byIdleTag) Push(x any) {
	f := x.(*flow)
	f.idleIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *byIdleTag) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.idleIndex = -1
	return f
}

// byWaiting is a heap of teams, the team with the most waiting items first.
type byWaiting []*flow

func (h byWaiting) Len() int { return len(h) }

func (h byWaiting) Less(i, j int) bool {
	if h[i].waiting != h[j].waiting {
		return h[i].waiting > h[j].waiting
	}
	return h[i].waitingSeq > h[j].waitingSeq
}

func (h byWaiting) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].waitingIndex, h[j].waitingIndex = i, j
}

// Push implements heap.Interface.
func (h *byWaiting) Push(x any) {
	f := x.(*flow)
	f.waitingIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *byWaiting) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
