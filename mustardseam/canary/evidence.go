package canary

import "github.com/mustardseam/mustardseam/mustardseam/rollout"

// Evidence is what a controller knows of the target version of a rollout.
type Evidence struct {
	rollout.Summary         // Result of the test of all routes together.
	Failures        int     // Number of failed ones among them.
	WorstRoute      string  // Route with the most evidence against the version.
	RouteAgainst    float64 // Evidence against the version on WorstRoute.
}
