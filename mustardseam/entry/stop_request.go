package entry

import "time"

// stopRequest is what a planned stop needs to know of a request to decide whether it can end in time; it is immutable.
type stopRequest struct {
	received   time.Time
	deadline   time.Time
	repeatable bool
	streamed   bool // The answer is forwarded as it arrives, so that the end of the process would cut it off.
	maxEvents  int  // Maximum number of events of a streamed answer; 0 if the caller sets none.
}

// acceptance is the reason for which a stopping instance accepts a request; it is empty if the request is refused.
type acceptance string

const (
	refusedByStop       acceptance = ""
	acceptedByTimeLimit acceptance = "time-limit" // The request ends at its deadline, which is early enough.
	acceptedBySize      acceptance = "size"       // The largest answer that the caller allows ends early enough.
	acceptedByHistory   acceptance = "history"    // Similar requests took less time than is left.
	acceptedUnknown     acceptance = "unknown"    // Nothing is known of similar requests, and callers are still sent here.
)
