package cost

// Tokens is the cost of one request in tokens.
type Tokens struct {
	Prefill int `json:"prefill"` // Prompt tokens that are computed, without those of the prefix cache.
	Decode  int `json:"decode"`  // Generated tokens.
}

// Sum returns the tokens that count against a team's share, at least 1 so that every request moves virtual time.
func (t Tokens) Sum() float64 {
	return float64(max(1, t.Prefill+t.Decode))
}
