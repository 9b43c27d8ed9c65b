package placement

import "github.com/mustardseam/mustardseam/mustardseam/fleet"

// Candidates are the backend servers that a job of a service may be sent to.
type Candidates struct {
	Service *fleet.Service
	Servers []*fleet.Server // Preferred backend servers.
	Full    bool            // None of Servers has room, as found for another job.
	Spare   []*fleet.Server // Used only up to their slots, and only if none of Servers has room.
}

// candidateList identifies the preferred or the spare candidates of a service.
type candidateList struct {
	service string
	spare   bool
}
