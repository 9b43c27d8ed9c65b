package fair

import "container/heap"

// entry is the presence of a flow in one lane; only entries with waiting items exist.
type entry struct {
	flow   *flow
	lane   string
	parent *entry // Entry of the flow's parent in the same lane; nil for the root.
	index  int    // Place in parent.heap.
	heap   byTag  // Entries of the children; empty at a group.
	first  *Item  // Items of a group, in order of service.
	last   *Item
}

func (e *entry) append(it *Item) {
	it.leaf, it.before, it.after = e, e.last, nil
	if e.last == nil {
		e.first = it
	} else {
		e.last.after = it
	}
	e.last = it
}

func (e *entry) prepend(it *Item) {
	it.leaf, it.before, it.after = e, nil, e.first
	if e.first == nil {
		e.last = it
	} else {
		e.first.before = it
	}
	e.first = it
}

func (e *entry) unlink(it *Item) {
	if it.before == nil {
		e.first = it.after
	} else {
		it.before.after = it.after
	}
	if it.after == nil {
		e.last = it.before
	} else {
		it.after.before = it.before
	}
	it.leaf, it.before, it.after = nil, nil, nil
}

// next returns the item of the entry's lane that is served next.
func (e *entry) next() *Item {
	for len(e.heap) > 0 {
		e = e.heap[0]
	}
	return e.first
}

// before reports whether the lane of e is served before the lane of o. The same team may be first in both lanes, and
// then the older item decides, so that no lane of a team starves.
func (e *entry) before(o *entry) bool {
	a, b := e.heap[0].flow.tag, o.heap[0].flow.tag
	if a != b {
		return a < b
	}
	return e.next().seq < o.next().seq
}

// byTag orders the entries of one lane by the start tags of their flows.
type byTag []*entry

func (h byTag) Len() int { return len(h) }

func (h byTag) Less(i, j int) bool {
	a, b := h[i].flow, h[j].flow
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.since < b.since
}

func (h byTag) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byTag) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *byTag) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

var _ heap.Interface = (*byTag)(nil)
