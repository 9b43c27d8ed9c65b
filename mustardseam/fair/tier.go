package fair

import "container/heap"

// tier holds the waiting items of one tier.
type tier struct {
	queue          *Queue
	rank           int // Number of the tier; 0 is the highest.
	root           *flow
	teamsByWaiting byWaiting // Heap of the teams with waiting items.
	waitingWeight  float64   // Sum of the weights of the teams with waiting items.
}

// insert adds the item at the end of the list of its group and lane, or at the front of it.
func (t *tier) insert(it *Item, front bool) {
	team := t.child(t.root, it.Team, t.queue.weightOf(it.Team))
	group := t.child(team, it.Group, 1)
	t.activate(team)
	t.activate(group)
	leaf := t.laneFlowFor(group, t.laneFlowFor(team, t.laneFlowFor(t.root, nil, it.Lane), it.Lane), it.Lane)
	if front {
		leaf.prepend(it)
	} else {
		leaf.append(it)
	}
	team.link(it)
	for f := group; f != nil; f = f.parent {
		f.waiting++
		f.waitingCost += it.Cost
	}
	if team.waiting == 1 {
		heap.Push(&t.teamsByWaiting, team)
		t.waitingWeight += team.weight
	} else {
		heap.Fix(&t.teamsByWaiting, team.waitingIndex)
	}
}

// child returns the named child of the flow, creating it without debt if needed.
func (t *tier) child(parent *flow, name string, weight float64) *flow {
	if f := parent.children[name]; f != nil {
		return f
	}
	f := t.queue.newFlow()
	f.name, f.parent, f.weight, f.idleIndex = name, parent, weight, -1
	f.startTag, f.minTag = parent.virtualTime, parent.virtualTime
	parent.children[name] = f
	return f
}

// activate prepares a flow without waiting items for its first one. The flow keeps its debt but gets no credit for
// idle time.
func (t *tier) activate(f *flow) {
	if f.waiting > 0 {
		return
	}
	if f.idleIndex >= 0 {
		heap.Remove(&f.parent.idleChildren, f.idleIndex)
	}
	t.queue.flowSeq++
	f.waitingSeq = t.queue.flowSeq
	f.minTag = f.parent.virtualTime
	f.startTag = max(f.startTag, f.minTag)
}

// laneFlowFor returns the flow's laneFlow in the lane, creating it if needed.
func (t *tier) laneFlowFor(f *flow, parent *laneFlow, lane string) *laneFlow {
	if e := f.laneFlowIn(lane); e != nil {
		return e
	}
	e := t.queue.newLaneFlow()
	e.flow, e.lane, e.parent = f, lane, parent
	f.laneFlows = append(f.laneFlows, e)
	if parent != nil {
		heap.Push(&parent.children, e)
	}
	return e
}

// remove removes the item without charging its cost.
func (t *tier) remove(it *Item) {
	leaf := it.laneFlow
	group := leaf.flow
	team := group.parent
	leaf.unlink(it)
	team.unlink(it)
	for f := group; f != nil; f = f.parent {
		f.waiting--
		f.waitingCost -= it.Cost
	}
	for e := leaf; e != nil && e.first == nil && len(e.children) == 0; {
		parent := e.parent
		t.deleteLaneFlow(e)
		e = parent
	}
	if team.waiting == 0 {
		heap.Remove(&t.teamsByWaiting, team.waitingIndex)
		t.waitingWeight -= team.weight
		if len(t.teamsByWaiting) == 0 {
			t.waitingWeight = 0 // Discards the accumulated rounding error.
		}
	} else {
		heap.Fix(&t.teamsByWaiting, team.waitingIndex)
	}
	t.updateIdle(group)
	t.updateIdle(team)
	if t.root.waiting == 0 {
		t.deleteIdleChildren(t.root)
	}
}

// deleteLaneFlow deletes a laneFlow without items.
func (t *tier) deleteLaneFlow(e *laneFlow) {
	f := e.flow
	for i, other := range f.laneFlows {
		if other == e {
			last := len(f.laneFlows) - 1
			f.laneFlows[i] = f.laneFlows[last]
			f.laneFlows[last] = nil
			f.laneFlows = f.laneFlows[:last]
			break
		}
	}
	if e.parent != nil {
		heap.Remove(&e.parent.children, e.heapIndex)
	}
	t.queue.releaseLaneFlow(e)
}

// updateIdle adds the flow to its parent's idle children if it has no waiting items. In any case, it deletes the idle
// children of the parent whose debt is settled.
func (t *tier) updateIdle(f *flow) {
	parent := f.parent
	if f.waiting == 0 {
		t.deleteIdleChildren(f)
		if f.idleIndex < 0 {
			heap.Push(&parent.idleChildren, f)
		}
	}
	for len(parent.idleChildren) > 0 && parent.idleChildren[0].startTag <= parent.virtualTime {
		settled := heap.Pop(&parent.idleChildren).(*flow)
		delete(parent.children, settled.name)
		t.queue.releaseFlow(settled)
	}
}

// deleteIdleChildren deletes the idle children of a flow without waiting items. Their debt can be dropped, since no
// other child is waiting.
func (t *tier) deleteIdleChildren(f *flow) {
	for len(f.idleChildren) > 0 {
		child := f.idleChildren[len(f.idleChildren)-1]
		f.idleChildren[len(f.idleChildren)-1] = nil
		f.idleChildren = f.idleChildren[:len(f.idleChildren)-1]
		f.virtualTime = max(f.virtualTime, child.startTag)
		delete(f.children, child.name)
		t.deleteIdleChildren(child)
		t.queue.releaseFlow(child)
	}
	f.waitingCost = 0
}

// bestLaneFlow returns the root laneFlow of the lane that is served next, among the lanes that are not skipped.
func (t *tier) bestLaneFlow(skip func(lane string) bool) *laneFlow {
	var best *laneFlow
	for _, e := range t.root.laneFlows {
		if skip != nil && skip(e.lane) {
			continue
		}
		if best == nil || e.servedBefore(best) {
			best = e
		}
	}
	return best
}

// correctCost adjusts the tags of the team and the group by the difference between the actual and the estimated cost.
func (t *tier) correctCost(team, group string, delta float64) {
	if t.root.waiting == 0 {
		return
	}
	f := t.adjustTag(t.root, team, t.queue.weightOf(team), delta)
	if f != nil && f.waiting > 0 {
		t.adjustTag(f, group, 1, delta)
	}
}

// adjustTag applies the difference to the named child and returns it, or nil if it does not exist afterwards. A child
// that no longer exists is recreated only to record a debt.
func (t *tier) adjustTag(parent *flow, name string, weight, delta float64) *flow {
	f := parent.children[name]
	if f == nil {
		if delta <= 0 {
			return nil
		}
		f = t.child(parent, name, weight)
	}
	f.setTag(f.startTag + delta/f.weight)
	if f.waiting > 0 {
		return f
	}
	t.updateIdle(f)
	return parent.children[name]
}
