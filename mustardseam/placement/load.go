package placement

// Load is the unfinished work that a set of instances has sent to a backend server.
type Load struct {
	Requests     int `json:"requests"` // Number of unfinished requests.
	PromptTokens int `json:"prompt"`   // Prompt tokens that are yet to be read, of the requests whose first event has not arrived.
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, PromptTokens: l.PromptTokens + o.PromptTokens}
}

// Minus returns the difference of two loads; neither field falls below 0.
func (l Load) Minus(o Load) Load {
	return Load{Requests: max(0, l.Requests-o.Requests), PromptTokens: max(0, l.PromptTokens-o.PromptTokens)}
}
