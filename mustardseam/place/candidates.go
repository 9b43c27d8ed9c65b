package place

import "github.com/mustardseam/mustardseam/mustardseam/fleet"

// Candidates are the backend servers that a job of a service may go to.
type Candidates struct {
	Service *fleet.Service
	Servers []*fleet.Server
	Full    bool            // None of Servers has room for the job, as was found for another one.
	Spare   []*fleet.Server // Used, and not beyond their slots, where none of Servers has room.
}

// list is a list of candidates: those of a service that are preferred, or the spare ones.
type list struct {
	service string
	spare   bool
}
