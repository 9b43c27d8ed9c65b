package fair

// reservedShare is the share of a full queue that is reserved for teams below the mean of the waiting teams, so that a
// team that sends far more than its share cannot keep the others out.
const reservedShare = 1.0 / 8

// Admit adds the item to the queue if there is room, or if items of lower tiers can be shed for it. It returns the shed
// items and whether the item was admitted. An item is never refused while a lower tier is waiting. If shedding all
// lower tiers does not make enough room, the item is admitted anyway and may exceed the token limit.
func (q *Queue) Admit(it *Item) (shed []*Item, ok bool) {
	lowest, waiting := q.LowestTier()
	last := !waiting || it.Tier >= lowest
	if last && (!q.fits(it) || q.deniedByReserve(it)) {
		return nil, false
	}
	for !q.fits(it) {
		victim := q.ShedNewest(it.Tier)
		if victim == nil {
			break
		}
		shed = append(shed, victim)
	}
	q.Push(it)
	return shed, true
}

// ShedNewest removes and returns the newest item of the lowest tier below the given rank, from the team with the most
// waiting items. It returns nil if no lower tier is waiting.
func (q *Queue) ShedNewest(rank int) *Item {
	for i := len(q.tiers) - 1; i >= 0 && q.tiers[i].rank > rank; i-- {
		t := q.tiers[i]
		if len(t.teamsByWaiting) == 0 {
			continue
		}
		it := t.teamsByWaiting[0].newest
		q.Remove(it)
		return it
	}
	return nil
}

// LowestTier returns the rank of the lowest tier with waiting items. It returns false if there is none.
func (q *Queue) LowestTier() (rank int, ok bool) {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].root.waiting > 0 {
			return q.tiers[i].rank, true
		}
	}
	return 0, false
}

// fits reports whether the item keeps the queue within its limits. An empty queue accepts any item.
func (q *Queue) fits(it *Item) bool {
	if q.waiting == 0 {
		return true
	}
	if q.cfg.MaxWaiting > 0 && q.waiting >= q.cfg.MaxWaiting {
		return false
	}
	return q.cfg.MaxTokens <= 0 || q.waitingCost+it.Cost <= q.cfg.MaxTokens
}

// deniedByReserve reports whether only the reserved share of the queue is free and the item's team may not use it,
// because it already has more than the weighted mean of the waiting teams. The item must belong to the lowest waiting
// tier.
func (q *Queue) deniedByReserve(it *Item) bool {
	free := float64(q.cfg.MaxWaiting-q.waiting) / float64(max(1, q.cfg.MaxWaiting))
	if q.cfg.MaxWaiting <= 0 || free >= reservedShare {
		return false
	}
	t := q.findTier(it.Tier)
	if t == nil {
		return false
	}
	f := t.root.children[it.Team]
	if f == nil || f.waiting == 0 {
		return false
	}
	return float64(f.waiting)*t.waitingWeight > float64(t.root.waiting)*f.weight
}
