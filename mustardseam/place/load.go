package place

// Load is the unfinished work that a set of instances has sent to a backend server.
type Load struct {
	Requests int `json:"requests"` // Number of unfinished requests.
	Prompt   int `json:"prompt"`   // Prompt tokens of the requests whose first event has not arrived.
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Prompt: l.Prompt + o.Prompt}
}

// Minus returns the difference of two loads; neither field falls below 0.
func (l Load) Minus(o Load) Load {
	return Load{Requests: max(0, l.Requests-o.Requests), Prompt: max(0, l.Prompt-o.Prompt)}
}
