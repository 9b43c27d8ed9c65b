package fair

// Backlog describes the waiting items of a tier, or of a team in a tier.
type Backlog struct {
	Rank   int
	Team   string  // Team name; empty for a whole tier.
	Items  int     // Number of waiting items.
	Tokens float64 // Total cost of the waiting items.
	Oldest *Item   // First waiting item of the team in arrival order; nil for a tier.
	Newest *Item   // Last waiting item of the team in arrival order; nil for a tier.
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// Tokens returns the total cost of the waiting items.
func (q *Queue) Tokens() float64 { return q.waitingCost }

// Tiers returns the backlogs of the tiers with waiting items, the highest tier first.
func (q *Queue) Tiers() []Backlog {
	var list []Backlog
	for _, t := range q.tiers {
		if t.root.waiting > 0 {
			list = append(list, Backlog{Rank: t.rank, Items: t.root.waiting, Tokens: t.root.waitingCost})
		}
	}
	return list
}

// Teams returns the backlogs of the teams with waiting items, the highest tier first. Within a tier the order is
// unspecified.
func (q *Queue) Teams() []Backlog {
	var list []Backlog
	for _, t := range q.tiers {
		for _, f := range t.teamsByWaiting {
			list = append(list, Backlog{t.rank, f.name, f.waiting, f.waitingCost, f.oldest, f.newest})
		}
	}
	return list
}

// TokensAhead returns the tokens that are served before a new item of the team: those of the higher tiers, and within
// the tier those of the team itself and of the other teams in the meantime.
func (q *Queue) TokensAhead(rank int, team string) float64 {
	ahead := 0.0
	for _, t := range q.tiers {
		if t.rank < rank {
			ahead += t.root.waitingCost
			continue
		}
		if t.rank == rank {
			ahead += t.tokensAhead(team)
		}
		break
	}
	return ahead
}

// tokensAhead returns the tokens of this tier that are served before a new item of the team.
func (t *tier) tokensAhead(team string) float64 {
	weight := t.queue.weightOf(team)
	f := t.root.children[team]
	if f == nil {
		return 0
	}
	total := t.waitingWeight
	if f.waiting == 0 {
		total += weight
	}
	debt := max(0, f.startTag-t.root.virtualTime) * weight
	return min(t.root.waitingCost, (f.waitingCost+debt)*total/weight)
}
