package load

import "time"

// Choice is a name and how often it is drawn relative to the others.
type Choice struct {
	Name   string
	Weight float64
}

// Lengths is a log-uniform distribution of tokens over [Min, Max].
type Lengths struct {
	Min, Max float64
}

// Mix describes the requests of one kind.
type Mix struct {
	Teams         []Choice
	Tiers         []float64 // Weight of each rank.
	Routes        []Choice
	Prompt        Lengths
	Output        Lengths
	Prefixes      int // Shared prompt prefixes, such as templates; 0 for none.
	PrefixTokens  int
	Timeouts      []time.Duration // By rank.
	NonIdempotent bool            // Each request carries a key of its own.
}

// Phase is a Poisson process of requests of one mix.
type Phase struct {
	Mix   Mix
	Rate  float64 // Requests a second.
	Start time.Duration
	End   time.Duration
}
