package placement

import "github.com/mustardseam/mustardseam/mustardseam/fleet"

// Candidates are the backend servers that a job of a service may be sent to.
type Candidates struct {
	Service *fleet.Service
	Servers []*fleet.Server // Preferred backend servers.
	Full    bool            // None of Servers has room, as found for another job.
	// Fallback are the fallback: cold backend servers and those whose registration lapsed with the store.
	// They are used only up to their slots, and only if none of Servers has room.
	Fallback []*fleet.Server
}

// candidateList identifies the preferred or the fallback candidates of a service.
type candidateList struct {
	service  string
	fallback bool
}
