package fair

import "container/heap"

// tier holds the waiting items of one rank.
type tier struct {
	queue   *Queue
	rank    int
	root    *flow
	largest byWaiting // Teams with waiting items.
	weight  float64   // Sum of the weights of the teams with waiting items.
}

// insert puts the item behind the others of its group and lane, or in front of them.
func (t *tier) insert(it *Item, front bool) {
	team := t.child(t.root, it.Team, t.queue.weight(it.Team))
	group := t.child(team, it.Group, 1)
	t.begin(team)
	t.begin(group)
	leaf := t.enter(group, t.enter(team, t.enter(t.root, nil, it.Lane), it.Lane), it.Lane)
	if front {
		leaf.prepend(it)
	} else {
		leaf.append(it)
	}
	team.link(it)
	for f := group; f != nil; f = f.parent {
		f.waiting++
		f.tokens += it.Cost
	}
	if team.waiting == 1 {
		heap.Push(&t.largest, team)
		t.weight += team.weight
	} else {
		heap.Fix(&t.largest, team.largest)
	}
}

// child returns the named child, which is created without debt when it does not exist.
func (t *tier) child(parent *flow, name string, weight float64) *flow {
	if f := parent.children[name]; f != nil {
		return f
	}
	f := t.queue.newFlow()
	f.name, f.parent, f.weight, f.index = name, parent, weight, -1
	f.tag, f.floor = parent.virtual, parent.virtual
	parent.children[name] = f
	return f
}

// begin marks a flow that had no waiting items: it keeps its debt but gets no credit for idle time.
func (t *tier) begin(f *flow) {
	if f.waiting > 0 {
		return
	}
	if f.index >= 0 {
		heap.Remove(&f.parent.idle, f.index)
	}
	t.queue.since++
	f.since = t.queue.since
	f.floor = f.parent.virtual
	f.tag = max(f.tag, f.floor)
}

// enter returns the flow's entry in the lane, which is created when it does not exist.
func (t *tier) enter(f *flow, parent *entry, lane string) *entry {
	if e := f.in(lane); e != nil {
		return e
	}
	e := t.queue.newEntry()
	e.flow, e.lane, e.parent = f, lane, parent
	f.at = append(f.at, e)
	if parent != nil {
		heap.Push(&parent.heap, e)
	}
	return e
}

// remove takes the item out without any charge.
func (t *tier) remove(it *Item) {
	leaf := it.leaf
	group := leaf.flow
	team := group.parent
	leaf.unlink(it)
	team.unlink(it)
	for f := group; f != nil; f = f.parent {
		f.waiting--
		f.tokens -= it.Cost
	}
	for e := leaf; e != nil && e.first == nil && len(e.heap) == 0; {
		parent := e.parent
		t.leave(e)
		e = parent
	}
	if team.waiting == 0 {
		heap.Remove(&t.largest, team.largest)
		t.weight -= team.weight
		if len(t.largest) == 0 {
			t.weight = 0 // Drops the rounding errors of the sum.
		}
	} else {
		heap.Fix(&t.largest, team.largest)
	}
	t.settle(group)
	t.settle(team)
	if t.root.waiting == 0 {
		t.clear(t.root)
	}
}

// leave deletes an entry without items.
func (t *tier) leave(e *entry) {
	f := e.flow
	for i, other := range f.at {
		if other == e {
			last := len(f.at) - 1
			f.at[i] = f.at[last]
			f.at[last] = nil
			f.at = f.at[:last]
			break
		}
	}
	if e.parent != nil {
		heap.Remove(&e.parent.heap, e.index)
	}
	t.queue.freeEntry(e)
}

// settle keeps a flow without waiting items only while it is in debt, and forgets others whose debt is paid.
func (t *tier) settle(f *flow) {
	parent := f.parent
	if f.waiting == 0 {
		t.clear(f)
		if f.index < 0 {
			heap.Push(&parent.idle, f)
		}
	}
	for len(parent.idle) > 0 && parent.idle[0].tag <= parent.virtual {
		paid := heap.Pop(&parent.idle).(*flow)
		delete(parent.children, paid.name)
		t.queue.freeFlow(paid)
	}
}

// clear forgets the children of a flow without waiting items: nobody waits for what they owe.
func (t *tier) clear(f *flow) {
	for len(f.idle) > 0 {
		child := f.idle[len(f.idle)-1]
		f.idle[len(f.idle)-1] = nil
		f.idle = f.idle[:len(f.idle)-1]
		f.virtual = max(f.virtual, child.tag)
		delete(f.children, child.name)
		t.clear(child)
		t.queue.freeFlow(child)
	}
	f.tokens = 0
}

// best returns the entry of the root whose next team has the lowest tag among the lanes that are not blocked.
func (t *tier) best(blocked func(lane string) bool) *entry {
	var best *entry
	for _, e := range t.root.at {
		if blocked != nil && blocked(e.lane) {
			continue
		}
		if best == nil || e.before(best) {
			best = e
		}
	}
	return best
}

// correct moves the tags of the team and the group by the difference between real and estimated cost.
func (t *tier) correct(team, group string, delta float64) {
	if t.root.waiting == 0 {
		return
	}
	f := t.adjust(t.root, team, t.queue.weight(team), delta)
	if f != nil && f.waiting > 0 {
		t.adjust(f, group, 1, delta)
	}
}

// adjust returns the named child after the correction, or nil when it does not exist; a flow that exists no longer
// can only come to owe.
func (t *tier) adjust(parent *flow, name string, weight, delta float64) *flow {
	f := parent.children[name]
	if f == nil {
		if delta <= 0 {
			return nil
		}
		f = t.child(parent, name, weight)
	}
	f.move(f.tag + delta/f.weight)
	if f.waiting > 0 {
		return f
	}
	t.settle(f)
	return parent.children[name]
}
