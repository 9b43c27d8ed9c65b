package load

import "time"

// Choice is a name with its weight relative to the other choices.
type Choice struct {
	Name   string
	Weight float64
}

// Lengths is a log-uniform distribution of token counts over [Min, Max].
type Lengths struct {
	Min, Max float64
}

// Mix describes the distribution of one kind of requests.
type Mix struct {
	Teams         []Choice
	Tiers         []float64 // Weight of each rank.
	Routes        []Choice
	Prompt        Lengths
	Output        Lengths
	Prefixes      int             // Number of shared prompt prefixes, such as templates; 0 means none.
	PrefixTokens  int             // Length of each shared prefix in tokens; only complete blocks count.
	Timeouts      []time.Duration // Request timeout by tier rank; the last one applies to all further ranks.
	NonIdempotent bool            // Requests are non-idempotent, each with its own key.
}

// Phase is a Poisson process of requests of one mix.
type Phase struct {
	Mix   Mix
	Rate  float64       // Mean arrival rate in requests per second.
	Start time.Duration // Offset from the start of the run at which the phase starts.
	End   time.Duration // Offset from the start of the run before which all requests arrive.
}
