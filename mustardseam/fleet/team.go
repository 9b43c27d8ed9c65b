package fleet

// Team is a group of callers that share a quota.
type Team struct {
	Name        string
	Keys        []string
	Tier        int     // Goes before the tier of the route; -1 for none.
	Rate        float64 // Units per second over all instances; 0 for no limit.
	Burst       float64 // Units.
	Tokens      bool    // Units are tokens, else requests.
	PlainTokens int     // Units of a request that says no number of tokens.
}
