package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// WithEstimate returns a job of a service with its predicted times at a backend server of average speed.
func (b *Board) WithEstimate(svc *fleet.Service, j *Job) *Job {
	next := *j
	next.FirstEvent = b.PredictIdleFirstEvent(svc, j)
	next.ServiceTime = b.PredictServiceTime(svc, j)
	return &next
}

// PredictServiceTime predicts for how long a job occupies a slot of a backend server of average speed.
func (b *Board) PredictServiceTime(svc *fleet.Service, j *Job) time.Duration {
	first := b.PredictIdleFirstEvent(svc, j)
	if !svc.Engine {
		return first
	}
	return first + milliseconds(b.model(svc.Name).interToken.valueOr(defaultInterTokenMS)*b.expectedOutput(j))
}
