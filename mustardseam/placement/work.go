package placement

import "github.com/mustardseam/mustardseam/mustardseam/fleet"

// ExpectedWork returns the expected units of work of a job: output tokens for an engine, otherwise 1.
func (b *Board) ExpectedWork(svc *fleet.Service, j *Job) float64 {
	if !svc.Engine {
		return 1
	}
	return b.expectedOutput(j)
}

// UnitMS returns the milliseconds that a slot of a backend server takes for a unit of work; 0 if it has not been measured.
func (b *Board) UnitMS(svc *fleet.Service, s *fleet.Server) float64 {
	if svc.Engine {
		return b.state(s).interToken.value
	}
	return b.state(s).latency.value
}
