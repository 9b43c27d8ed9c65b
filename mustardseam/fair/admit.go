package fair

// reserve is the part of the room that is kept for teams below the mean of the waiting teams, so that a team that
// sends much more than its share cannot keep the others out of a full queue.
const reserve = 1.0 / 8

// Admit puts the item into the queue if there is room, or if items of lower tiers can be shed for it. It returns the
// items that were shed, and whether the item was admitted. An item is refused only when no lower tier waits; the item
// that replaces the last ones of the lower tiers may therefore exceed the bound of the tokens.
func (q *Queue) Admit(it *Item) (shed []*Item, ok bool) {
	lowest, some := q.Lowest()
	last := !some || it.Tier >= lowest
	if last && (!q.fits(it) || q.reserved(it)) {
		return nil, false
	}
	for !q.fits(it) {
		victim := q.Shed(it.Tier)
		if victim == nil {
			break
		}
		shed = append(shed, victim)
	}
	q.Push(it)
	return shed, true
}

// Shed removes and returns the newest item of the lowest tier below the given rank, from the team with the most
// waiting items; it returns nil when no lower tier waits.
func (q *Queue) Shed(rank int) *Item {
	for i := len(q.tiers) - 1; i >= 0 && q.tiers[i].rank > rank; i-- {
		t := q.tiers[i]
		if len(t.largest) == 0 {
			continue
		}
		it := t.largest[0].newest
		q.Remove(it)
		return it
	}
	return nil
}

// Lowest returns the rank of the lowest tier with waiting items; it is false when none waits.
func (q *Queue) Lowest() (rank int, ok bool) {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].root.waiting > 0 {
			return q.tiers[i].rank, true
		}
	}
	return 0, false
}

// fits reports whether the item keeps to the bounds. A single item always does.
func (q *Queue) fits(it *Item) bool {
	if q.waiting == 0 {
		return true
	}
	if q.cfg.MaxWaiting > 0 && q.waiting >= q.cfg.MaxWaiting {
		return false
	}
	return q.cfg.MaxTokens <= 0 || q.tokens+it.Cost <= q.cfg.MaxTokens
}

// reserved reports whether only the reserve is left and the item, which is of the lowest tier present, has no claim
// to it, because its team already has more than the mean of the waiting teams by weight.
func (q *Queue) reserved(it *Item) bool {
	free := float64(q.cfg.MaxWaiting-q.waiting) / float64(max(1, q.cfg.MaxWaiting))
	if q.cfg.MaxWaiting <= 0 || free >= reserve {
		return false
	}
	t := q.find(it.Tier)
	if t == nil {
		return false
	}
	f := t.root.children[it.Team]
	if f == nil || f.waiting == 0 {
		return false
	}
	return float64(f.waiting)*t.weight > float64(t.root.waiting)*f.weight
}
