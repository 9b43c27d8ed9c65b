package fleet

// Team is a group of callers that share a quota.
type Team struct {
	Name          string
	Keys          []string
	Tier          int     // Priority tier that overrides the tier of the route; -1 for none.
	Rate          float64 // Quota in units per second over all instances; 0 for no limit.
	Burst         float64 // Maximum quota level in units.
	Tokens        bool    // Quota units are tokens instead of requests.
	DefaultTokens int     // Units charged for a request that states no token count.
}
