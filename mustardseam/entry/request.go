package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// request is the state of a caller's request over its attempts at backend servers.
type request struct {
	exchange *http1.Exchange
	meta     RequestMeta
	view     *fleet.View
	route    *fleet.Route
	team     *fleet.Team // Team of the caller; nil if it has none.
	units    float64     // Units charged to the quota of the team.
	service  string
	job      *placement.Job
	runs     int // Number of backend servers that ran the request or may have.
	sends    int // Number of attempts, including refused ones.
	// retryCovered says that the next retry needs no further charge: it was already taken from the budget, or is free because
	// the latest attempt reached no backend server. Whether the request may be repeated at all is decided by mayRepeat.
	retryCovered        bool
	pending             *pendingRequest    // Entry in the set of requests without a final answer; nil before it is run.
	sentAt              time.Time          // Time of the latest send to a backend server.
	fingerprintCache    string             // Result of fingerprint; empty before the first call.
	counted             bool               // The request was counted as usage of its team.
	crashed             bool               // An attempt was cut off at the beginning of its answer.
	lastEventID         string             // Id of the latest event that the caller has.
	serverID            string             // Id of the latest backend server.
	hub                 string             // Hub that placed the latest attempt; empty when this instance did.
	placedAfter         time.Duration      // Time from the arrival to the latest placement.
	predictedFirstEvent time.Duration      // Predicted time from the latest placement to the first event.
	serverLimit         fleet.RequestLimit // Known limit of the latest backend server when the request was sent to it.
	load                placement.Load     // Load of the backend server, from all instances, when it was chosen.
	kept                int                // Prompt tokens that the backend server was expected to keep.
	timeToFirstEvent    time.Duration      // Time from the arrival to the first event.
	lastEventAt         time.Time          // Arrival time of the latest event.
	longestPause        time.Duration      // Longest time between two events.
	status              int                // Status code that the caller got.
	reason              string             // Reason for the outcome, as logged.
	grant               *Grant             // Grant of the current attempt; nil before the first one.
	stopAge             time.Duration      // Time from the stop signal to the decision whether to accept the request; 0 without a stop.
	accepted            acceptance         // Why the request was accepted in a planned stop.
	sample              *hub.Sample        // Latest outcome that was recorded for a rollout; nil if none was.
}

// attemptResult is the outcome of an attempt at a backend server.
type attemptResult int

const (
	resultAnswered   attemptResult = iota // The caller has its final answer.
	resultRetry                           // Another backend server may be tried.
	resultFailed                          // No further attempt is possible; the reason says why.
	resultCallerGone                      // The caller has closed the connection.
)

// tried reports whether the request was already sent to a backend server.
func (req *request) tried(s *fleet.Server) bool {
	return slices.Contains(req.job.Tried, s.Incarnation())
}

// mayRepeat reports whether the request may be sent to another backend server.
func (req *request) mayRepeat() bool {
	return req.runs == 0 || req.route.Repeatable() && req.runs < max(1, req.route.Attempts)
}

// stopRequest returns what a planned stop needs to know of the request.
func (req *request) stopRequest() stopRequest {
	r := stopRequest{
		received: req.exchange.ReceivedAt, deadline: req.job.Deadline, repeatable: req.route.Repeatable(),
		streamed: req.route.Kind == fleet.Stream,
	}
	if n := req.meta.MaxOutputTokens; n > 0 {
		perEvent := 1
		if s := req.view.Config.Service(req.service); s != nil {
			perEvent = max(1, s.TokensPerEvent)
		}
		r.maxEvents = (n-1)/perEvent + 1
	}
	return r
}
