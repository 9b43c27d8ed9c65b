package share

// Use is what a team requested and what it was granted, in units of its quota.
type Use struct {
	Asked float64 `json:"asked"` // Units requested.
	Spent float64 `json:"spent"` // Units granted.
}

// Plus returns the sum of two uses.
func (u Use) Plus(o Use) Use { return Use{Asked: u.Asked + o.Asked, Spent: u.Spent + o.Spent} }

// Minus returns the difference of two uses; neither field falls below 0.
func (u Use) Minus(o Use) Use {
	return Use{Asked: max(0, u.Asked-o.Asked), Spent: max(0, u.Spent-o.Spent)}
}
