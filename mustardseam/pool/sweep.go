package pool

import "time"

// sweepInterval is the minimum time between two sweeps of the queue, since each visits every waiting team.
const sweepInterval = 250 * time.Millisecond

// sweepQueue refuses the waiting requests that would miss their deadline according to the current forecast, so that
// they are answered at once and not near their deadline. It starts at the lowest tier and continues with a higher one
// only if no lower tier is waiting.
func (p *Pool) sweepQueue(now time.Time) {
	if p.queue.Len() == 0 || now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	teams := p.queue.Teams()
	for i := len(teams) - 1; i >= 0; i-- {
		team := teams[i]
		if lowest, ok := p.queue.LowestTier(); ok && team.Rank < lowest {
			return
		}
		throughput, known := p.tierThroughput(now, team.Rank)
		if !known {
			return
		}
		for it := team.Newest; it != nil; {
			r, older := p.requests[it.ID], it.Older()
			wait := boundedDuration((p.queue.TokensAhead(team.Rank, team.Team) - it.Cost) / throughput)
			if !r.missesDeadline(now, wait) {
				break
			}
			p.queue.Remove(it)
			p.dropWaiting(r)
			p.refuse(r.ID, DeadlineUnmeetable, roundRetryAfter(wait))
			it = older
		}
	}
}
