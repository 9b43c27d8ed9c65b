package place

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Job is what placing knows of a request.
type Job struct {
	Route      string
	Team       string
	Tier       int    // Of the team, where it has one, else of the route.
	Rank       int    // Tier of the route, which orders jobs of one tier.
	Instance   string // That it is placed for; empty for this one.
	DataCentre string // Of the instance that it came to.
	Prompt     int    // Tokens to read.
	Output     int    // Tokens to write, at most.
	Hint       int    // Tokens to write, as the caller expects; 0 when it does not say.
	Gap        time.Duration
	Objective  time.Time
	Deadline   time.Time
	Arrived    time.Time
	Tried      []fleet.Incarnation // Backend servers that are not to be chosen again.
}

// tried reports whether a backend server has had the request.
func (j *Job) tried(s fleet.Incarnation) bool {
	for _, t := range j.Tried {
		if t == s {
			return true
		}
	}
	return false
}
