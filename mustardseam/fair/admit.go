package fair

// reserve is the part of the room that is kept for teams below the mean of the waiting teams, so that a team that
// sends much more than its share cannot keep the others out of a full queue.
const reserve = 1.0 / 8

// Admit puts the item into the queue if there is room, or if items of lower tiers can be shed for it. It returns the
// items that were shed, and whether the item was admitted.
func (q *Queue) Admit(it *Item) (shed []*Item, ok bool) {
	if !q.fits(it, 0, 0) {
		waiting, tokens := q.below(it.Tier)
		if !q.fits(it, waiting, tokens) {
			return nil, false
		}
		for !q.fits(it, 0, 0) {
			shed = append(shed, q.Shed(it.Tier))
		}
	}
	if len(shed) == 0 && q.reserved(it) {
		return nil, false
	}
	q.Push(it)
	return shed, true
}

// Shed removes and returns the newest item of the lowest tier below the given rank, from the team with the most
// waiting items; it returns nil when no lower tier waits.
func (q *Queue) Shed(rank int) *Item {
	for i := len(q.tiers) - 1; i >= 0 && q.tiers[i].rank > rank; i-- {
		t := q.tiers[i]
		if len(t.crowd) == 0 {
			continue
		}
		it := t.crowd[0].newest
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

// fits reports whether the item has room after the given items and tokens have gone. A single item always has.
func (q *Queue) fits(it *Item, waiting int, tokens float64) bool {
	left := q.waiting - waiting
	if q.cfg.MaxWaiting > 0 && left >= q.cfg.MaxWaiting {
		return false
	}
	return left == 0 || q.cfg.MaxTokens <= 0 || q.tokens-tokens+it.Cost <= q.cfg.MaxTokens
}

// below counts the items and tokens of the tiers below the given rank.
func (q *Queue) below(rank int) (waiting int, tokens float64) {
	for _, t := range q.tiers {
		if t.rank > rank {
			waiting += t.root.waiting
			tokens += t.root.tokens
		}
	}
	return waiting, tokens
}

// reserved reports whether only the reserve is left and the item has no claim to it: it is of the lowest tier present
// and its team already has more than the mean of the waiting teams, by weight.
func (q *Queue) reserved(it *Item) bool {
	free := float64(q.cfg.MaxWaiting-q.waiting) / float64(max(1, q.cfg.MaxWaiting))
	if q.cfg.MaxWaiting <= 0 || free >= reserve {
		return false
	}
	lowest, _ := q.Lowest()
	t := q.find(it.Tier)
	if it.Tier < lowest || t == nil {
		return false
	}
	f := t.root.children[it.Team]
	if f == nil || f.waiting == 0 {
		return false
	}
	return float64(f.waiting)*t.weight > float64(t.root.waiting)*f.weight
}
