package operator

// Tier is a class of service; the tier of rank 0 is served first and shed last.
type Tier struct {
	Name string `json:"name" yaml:"name"`
	Rank int    `json:"rank" yaml:"rank"` // Priority from 0, the highest, to the number of tiers minus 1; unique.
}

func (t Tier) key() string { return t.Name }

func (t Tier) clone() Tier { return t }

// WithRank returns a copy of the tier with the given rank.
func (t Tier) WithRank(rank int) Tier {
	t.Rank = rank
	return t
}
