package ratelimit

// Usage is what a team requested and what was admitted, in units of its quota.
type Usage struct {
	Requested float64 `json:"asked"` // Units requested.
	Admitted  float64 `json:"spent"` // Units admitted.
}

// Plus returns the sum of two usages.
func (u Usage) Plus(o Usage) Usage {
	return Usage{Requested: u.Requested + o.Requested, Admitted: u.Admitted + o.Admitted}
}

// Minus returns the difference of two usages; neither field falls below 0.
func (u Usage) Minus(o Usage) Usage {
	return Usage{Requested: max(0, u.Requested-o.Requested), Admitted: max(0, u.Admitted-o.Admitted)}
}
