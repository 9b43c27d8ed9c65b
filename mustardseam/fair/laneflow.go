package fair

import "container/heap"

// laneFlow is the part of a flow that waits in one lane. It exists only while the flow has waiting items in the lane.
type laneFlow struct {
	flow      *flow
	lane      string
	parent    *laneFlow  // Part of the flow's parent in the same lane; nil for the root.
	heapIndex int        // Index in parent.children.
	children  byStartTag // Heap of the laneFlows of the flow's children; empty for a group.
	first     *Item      // First item of a group in service order.
	last      *Item      // Last item of a group in service order.
}

// append adds the item at the end of the group's list.
func (e *laneFlow) append(it *Item) {
	it.laneFlow, it.prevInLane, it.nextInLane = e, e.last, nil
	if e.last == nil {
		e.first = it
	} else {
		e.last.nextInLane = it
	}
	e.last = it
}

// prepend adds the item at the start of the group's list.
func (e *laneFlow) prepend(it *Item) {
	it.laneFlow, it.prevInLane, it.nextInLane = e, nil, e.first
	if e.first == nil {
		e.last = it
	} else {
		e.first.prevInLane = it
	}
	e.first = it
}

// unlink removes the item from the group's list.
func (e *laneFlow) unlink(it *Item) {
	if it.prevInLane == nil {
		e.first = it.nextInLane
	} else {
		it.prevInLane.nextInLane = it.nextInLane
	}
	if it.nextInLane == nil {
		e.last = it.prevInLane
	} else {
		it.nextInLane.prevInLane = it.prevInLane
	}
	it.laneFlow, it.prevInLane, it.nextInLane = nil, nil, nil
}

// nextItem returns the item of the lane that is served next.
func (e *laneFlow) nextItem() *Item {
	for len(e.children) > 0 {
		e = e.children[0]
	}
	return e.first
}

// servedBefore reports whether the lane of e is served before the lane of o. If the same team is first in both, the
// older item goes first, so that no lane of a team starves.
func (e *laneFlow) servedBefore(o *laneFlow) bool {
	a, b := e.children[0].flow.startTag, o.children[0].flow.startTag
	if a != b {
		return a < b
	}
	return e.nextItem().seq < o.nextItem().seq
}

// byStartTag is a heap of the laneFlows of one lane, by the start tags of their flows.
type byStartTag []*laneFlow

func (h byStartTag) Len() int { return len(h) }

func (h byStartTag) Less(i, j int) bool {
	a, b := h[i].flow, h[j].flow
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.waitingSeq < b.waitingSeq
}

func (h byStartTag) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *byStartTag) Push(x any) {
	e := x.(*laneFlow)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *byStartTag) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

var _ heap.Interface = (*byStartTag)(nil)
