package place

// Load is what a set of instances has sent to a backend server and not seen finished.
type Load struct {
	Requests int `json:"requests"`
	Prompt   int `json:"prompt"` // Tokens of requests whose first event has not come.
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Prompt: l.Prompt + o.Prompt}
}

// Minus returns the difference of two loads, at least 0.
func (l Load) Minus(o Load) Load {
	return Load{Requests: max(0, l.Requests-o.Requests), Prompt: max(0, l.Prompt-o.Prompt)}
}
