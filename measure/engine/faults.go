package engine

// Faults describes the injected faults of a backend server. The zero value injects none.
type Faults struct {
	Refuse    bool    // Refuse connections and publish no reports.
	Slow      float64 // Factor by which steps take longer; values below 1 count as 1.
	FailShare float64 // Share of admitted requests that fail, 0 to 1.
	Route     string  // Route to which failures and slowness are limited; empty means all routes.
	MinBatch  int     // Minimum number of requests at which failures and slowness occur.
}

// applies reports whether failures and slowness affect a request of the route at the given load.
func (f Faults) applies(route string, load int) bool {
	return (f.Route == "" || f.Route == route) && load >= f.MinBatch
}
