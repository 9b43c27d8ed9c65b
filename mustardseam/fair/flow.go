package fair

import "container/heap"

// flow is a team in a tier, a group of a team, or the root of a tier.
type flow struct {
	name     string
	parent   *flow
	children map[string]*flow
	weight   float64
	tag      float64  // Start tag of the next item, in tokens per weight.
	floor    float64  // Lowest tag that corrections can lead to: virtual time when the flow began to wait.
	virtual  float64  // Virtual time among the children.
	since    uint64   // Order in which the flows began to wait.
	at       []*entry // One per lane with waiting items.
	waiting  int
	tokens   float64
	idle     byIdleTag // Children that do not wait but have had more than their share.
	index    int       // Place in the parent's idle heap; -1 when not there.
	largest  int       // Place of a team in its tier's largest.
	oldest   *Item     // Items of a team, in order of arrival.
	newest   *Item
}

// in returns the flow's entry in the lane, or nil.
func (f *flow) in(lane string) *entry {
	for _, e := range f.at {
		if e.lane == lane {
			return e
		}
	}
	return nil
}

// move sets the start tag and restores the order of the heaps that hold the flow.
func (f *flow) move(tag float64) {
	f.tag = max(tag, f.floor)
	if f.index >= 0 {
		heap.Fix(&f.parent.idle, f.index)
	}
	for _, e := range f.at {
		heap.Fix(&e.parent.heap, e.index)
	}
}

// charge advances virtual time to the flow's start tag and the tag by the cost.
func (f *flow) charge(cost float64) {
	f.parent.virtual = max(f.parent.virtual, f.tag)
	f.move(f.tag + cost/f.weight)
}

func (f *flow) link(it *Item) {
	it.older, it.newer = f.newest, nil
	if f.newest == nil {
		f.oldest = it
	} else {
		f.newest.newer = it
	}
	f.newest = it
}

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

// byIdleTag orders flows without waiting items by their start tags.
type byIdleTag []*flow

func (h byIdleTag) Len() int           { return len(h) }
func (h byIdleTag) Less(i, j int) bool { return h[i].tag < h[j].tag }

func (h byIdleTag) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byIdleTag) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *byIdleTag) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// byWaiting orders teams by the number of their waiting items, the largest first.
type byWaiting []*flow

func (h byWaiting) Len() int { return len(h) }

func (h byWaiting) Less(i, j int) bool {
	if h[i].waiting != h[j].waiting {
		return h[i].waiting > h[j].waiting
	}
	return h[i].since > h[j].since
}

func (h byWaiting) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].largest, h[j].largest = i, j
}

// Push implements heap.Interface.
func (h *byWaiting) Push(x any) {
	f := x.(*flow)
	f.largest = len(*h)
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
