package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// attempt is a request on its way through the tries at backend servers.
type attempt struct {
	exchange *http1.Exchange
	meta     Meta
	view     *fleet.View
	route    *fleet.Route
	team     *fleet.Team // nil without one.
	units    float64     // Taken from the quota of the team.
	service  string
	job      *place.Job
	runs     int           // Backend servers that ran the request or may have.
	sends    int           // Including refused ones.
	paid     bool          // The next retry was taken from the budget, or needs none because the latest try reached no one.
	last     string        // Id of the latest event that the caller has.
	server   string        // Id of the latest backend server.
	by       string        // Hub that placed it last; empty when this instance did.
	waited   time.Duration // From the arrival to the latest placing.
	expected time.Duration // Predicted from the latest placing to the first event.
	load     place.Load    // Of the backend server when it was chosen, by all instances.
	first    time.Duration // From the arrival to the first event.
	event    time.Time     // Of the latest event.
	pause    time.Duration // Longest between events.
	status   int           // That the caller got.
	reason   string
	grant    *Grant // Of the try that goes on; nil between tries.
}

// fate is how a try at a backend server ended.
type fate int

const (
	answered fate = iota // The caller has its final answer.
	again                // Another backend server may be tried.
	finished             // Nothing more can be done; the reason says why.
	left                 // The caller has gone.
)

// tried reports whether a backend server has had the request.
func (a *attempt) tried(s *fleet.Server) bool { return slices.Contains(a.job.Tried, s.Incarnation()) }

// mayRepeat reports whether the request may go to another backend server.
func (a *attempt) mayRepeat() bool {
	return a.runs == 0 || a.route.Repeatable() && a.runs < max(1, a.route.Attempts)
}
