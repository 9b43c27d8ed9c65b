package place

import (
	"math"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// leastPart is the number of requests for each free slot that all instances together may send to a backend server
	// between two words of each other. What was sent in the time of one word may be missing in the next one as well.
	leastPart = 0.5
	// freePart is that number where as many requests are expected as there are free slots. It grows with a power of the free
	// slots for each request, since a choice among few backend servers costs more than a short queue now and then.
	freePart  = 4.0
	freePower = 3
	// plainQueue is how many requests beyond its slots a plain service may have waiting; they are short.
	plainQueue = 4
)

// part returns how many requests for each free slot of a list of candidates all instances together may send between two
// words of each other. Where they are expected to send less than there is room for, more of them may choose freely.
func (b *Board) part(c Candidates, spare, waiting bool) float64 {
	if waiting {
		return leastPart
	}
	key, servers := list{service: c.Service.Name, spare: spare}, c.Servers
	if spare {
		servers = c.Spare
	}
	if part, ok := b.parts[key]; ok {
		return part
	}
	free := 0
	for _, s := range servers {
		free += max(0, max(1, s.Slots)-b.account(s).load().Requests)
	}
	plenty := float64(free) / max(1, b.unheard*float64(len(servers)))
	part := max(leastPart, freePart*math.Pow(plenty, freePower))
	b.parts[key] = part
	return part
}

// room reports whether a backend server may get one more request. An engine's free slots are shared by the instances: each
// may use the slots that its own requests left and its part of the others. Otherwise all would send to an engine that
// comes free before they hear of each other.
func (b *Board) room(a *account, svc *fleet.Service, s *fleet.Server, l limits) bool {
	if a.crashed && !l.doubtful && a.load().Requests > 0 {
		return false // One request finds out whether it is back.
	}
	limit := max(1, s.Slots) + l.deep
	if !svc.Engine {
		return a.load().Requests < limit+plainQueue
	}
	free := limit - a.load().Requests
	if free <= 0 {
		return false
	}
	own := l.part * float64(max(0, free+a.recent-a.freed)) * float64(b.served) / float64(max(1, b.nodes))
	return b.nodes <= b.served || float64(a.recent)+a.draw < float64(a.freed)+own
}
