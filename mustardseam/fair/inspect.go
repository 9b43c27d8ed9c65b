package fair

// Waiting describes the waiting items of a tier, or of a team in a tier.
type Waiting struct {
	Rank   int
	Team   string // Empty for a whole tier.
	Items  int
	Tokens float64
	Oldest *Item // Of a team, by arrival.
	Newest *Item
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// Tokens returns the sum of the costs of the waiting items.
func (q *Queue) Tokens() float64 { return q.tokens }

// Tiers describes the tiers with waiting items, the highest first.
func (q *Queue) Tiers() []Waiting {
	var list []Waiting
	for _, t := range q.tiers {
		if t.root.waiting > 0 {
			list = append(list, Waiting{Rank: t.rank, Items: t.root.waiting, Tokens: t.root.tokens})
		}
	}
	return list
}

// Teams describes the teams with waiting items, the highest tier first and in no order inside a tier.
func (q *Queue) Teams() []Waiting {
	var list []Waiting
	for _, t := range q.tiers {
		for _, f := range t.largest {
			list = append(list, Waiting{t.rank, f.name, f.waiting, f.tokens, f.oldest, f.newest})
		}
	}
	return list
}

// Ahead returns the tokens that are served before a new item of the team: those of higher tiers, and in the same tier
// those of the team and what the other teams are served meanwhile.
func (q *Queue) Ahead(rank int, team string) float64 {
	ahead := 0.0
	for _, t := range q.tiers {
		if t.rank < rank {
			ahead += t.root.tokens
			continue
		}
		if t.rank == rank {
			ahead += t.ahead(team)
		}
		break
	}
	return ahead
}

func (t *tier) ahead(team string) float64 {
	w := t.queue.weight(team)
	f := t.root.children[team]
	if f == nil {
		return 0
	}
	total := t.weight
	if f.waiting == 0 {
		total += w
	}
	owed := max(0, f.tag-t.root.virtual) * w
	return min(t.root.tokens, (f.tokens+owed)*total/w)
}
