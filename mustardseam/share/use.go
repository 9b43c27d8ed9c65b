package share

// Use is what a team asked for and got, in the units of its quota.
type Use struct {
	Asked float64 `json:"asked"`
	Spent float64 `json:"spent"`
}

// Plus returns the sum of two uses.
func (u Use) Plus(o Use) Use { return Use{Asked: u.Asked + o.Asked, Spent: u.Spent + o.Spent} }

// Minus returns the difference of two uses, at least 0.
func (u Use) Minus(o Use) Use {
	return Use{Asked: max(0, u.Asked-o.Asked), Spent: max(0, u.Spent-o.Spent)}
}
