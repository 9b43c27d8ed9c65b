package ratelimit

// Use is what a team requested and what it was granted, in units of its quota.
type Use struct {
	Requested float64 `json:"asked"` // Units requested.
	Granted   float64 `json:"spent"` // Units granted.
}

// Plus returns the sum of two uses.
func (u Use) Plus(o Use) Use {
	return Use{Requested: u.Requested + o.Requested, Granted: u.Granted + o.Granted}
}

// Minus returns the difference of two uses; neither field falls below 0.
func (u Use) Minus(o Use) Use {
	return Use{Requested: max(0, u.Requested-o.Requested), Granted: max(0, u.Granted-o.Granted)}
}
