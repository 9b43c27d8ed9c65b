package engine

// Faults are what goes wrong at a backend server; the zero value is a sound one.
type Faults struct {
	Refuse    bool    // Connections are refused, and no report is published.
	Slow      float64 // Factor of the step time; below 1 counts as 1.
	FailShare float64 // Share of admitted requests that fail, 0 to 1.
	Route     string  // Failures and slowness concern this route only; empty for all.
	MinBatch  int     // Failures and slowness occur only at this many requests or more.
}

// hit reports whether a request of the route is concerned at the given load.
func (f Faults) hit(route string, load int) bool {
	return (f.Route == "" || f.Route == route) && load >= f.MinBatch
}
