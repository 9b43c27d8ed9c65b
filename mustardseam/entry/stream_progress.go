package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// streamProgress is how far an attempt has forwarded a stream.
type streamProgress struct {
	events        int
	first, latest time.Time // Arrival times of the first and the latest event.
}

// interToken returns the mean inter-token latency; 0 if it is unknown.
func (s streamProgress) interToken(svc *fleet.Service) time.Duration {
	if s.events < 2 || svc.TokensPerEvent <= 0 {
		return 0
	}
	return s.betweenEvents() / time.Duration(svc.TokensPerEvent)
}

// betweenEvents returns the mean time between two events, of which there must be two.
func (s streamProgress) betweenEvents() time.Duration {
	return s.latest.Sub(s.first) / time.Duration(s.events-1)
}
