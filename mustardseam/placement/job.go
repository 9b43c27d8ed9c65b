package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
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
	Arrived         time.Time           // Time at which the request arrived.
	Tried           []fleet.Incarnation // Backend servers that must not be chosen again.
	Prompt          promptcache.Prompt  // Parts of the prompt; empty if its placement does not depend on them.
	Kept            int                 // Prompt tokens that the chosen backend server is expected to keep; see Board.ExpectKept.
	held            int                 // Tokens of the memory of its backend server that are counted for the job.
	released        int                 // Of these, tokens of parts that have been recorded as kept.
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
