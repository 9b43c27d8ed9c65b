package cost

// Tokens is the cost of a request in tokens.
type Tokens struct {
	Prefill int `json:"prefill"` // Prompt tokens to compute, without those in the prefix cache.
	Decode  int `json:"decode"`  // Output tokens.
}

// Sum returns the tokens charged to the team's share. It is at least 1, so that every request advances the virtual
// time.
func (t Tokens) Sum() float64 {
	return float64(max(1, t.Prefill+t.Decode))
}
