package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Job holds the properties of a request that matter for its placement.
type Job struct {
	Route           string
	Team            string
	Tier            int                 // Tier of the team if it has one, otherwise of the route; 0 is served first.
	RouteTier       int                 // Tier of the route, which orders jobs of the same tier.
	Instance        string              // Instance for which the job is placed; empty for this one.
	DataCentre      string              // Data centre of the instance that received the request.
	PromptTokens    int                 // Number of prompt tokens.
	MaxOutputTokens int                 // Maximum number of output tokens.
	OutputHint      int                 // Output tokens that the caller expects; 0 if it gives no hint.
	Gap             time.Duration       // Longest pause between events that the caller expects; 0 for none.
	Objective       time.Time           // Time by which the caller expects the first event or the answer.
	Deadline        time.Time           // Time at which the request ends.
	Arrived         time.Time           // Time at which this attempt of the caller arrived.
	FirstArrival    time.Time           // Time at which the first attempt of the caller arrived; zero if this is the first one.
	Fingerprint     uint64              // Identifies the request at the hub if it may be a returning one; 0 otherwise.
	Resumed         bool                // The job is the rest of a stream that was interrupted.
	FirstEvent      time.Duration       // Predicted time to the first event at an idle backend server; 0 if unknown.
	ServiceTime     time.Duration       // Predicted time at a backend server; 0 if unknown.
	Tried           []fleet.Incarnation // Backend servers that must not be chosen again.
}

// WithReturn returns the job of a request whose caller was refused before. Its objective counts from the first attempt.
func (j *Job) WithReturn(firstArrival time.Time) *Job {
	next := *j
	next.FirstArrival = firstArrival
	next.Objective = j.Objective.Add(firstArrival.Sub(j.arrival()))
	return &next
}

// Returned reports whether the caller of the job was refused before.
func (j *Job) Returned() bool { return !j.FirstArrival.IsZero() }

// loadedFirstEvent is the factor by which first events take longer at an engine whose other slots are in use. A job that is
// placed so late that this matters would displace one that can be in time.
const loadedFirstEvent = 1.5

// Late reports whether the job is not expected to meet its objective any more.
func (j *Job) Late(now time.Time) bool { return now.After(j.latestStart()) }

// latestStart returns the time by which the job must be sent to a backend server to meet its objective.
func (j *Job) latestStart() time.Time {
	return j.Objective.Add(-time.Duration(loadedFirstEvent * float64(j.FirstEvent)))
}

// arrival returns the time at which the first attempt of the caller arrived, from which the objective counts.
func (j *Job) arrival() time.Time {
	if j.Returned() {
		return j.FirstArrival
	}
	return j.Arrived
}

// tried reports whether the job was already sent to a backend server.
func (j *Job) tried(s fleet.Incarnation) bool {
	for _, t := range j.Tried {
		if t == s {
			return true
		}
	}
	return false
}
