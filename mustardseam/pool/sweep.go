package pool

import "time"

// sweepEvery spaces the checks of the whole queue, which look at each waiting team.
const sweepEvery = 250 * time.Millisecond

// sweep refuses waiting requests that the present forecast gives up, so that they get their answer at once instead of
// near their deadline. It begins with the lowest tier, and goes on to the next one only when no lower tier waits.
func (p *Pool) sweep(now time.Time) {
	if p.queue.Len() == 0 || now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	teams := p.queue.Teams()
	for i := len(teams) - 1; i >= 0; i-- {
		w := teams[i]
		if lowest, ok := p.queue.Lowest(); ok && w.Rank < lowest {
			return
		}
		speed, known := p.speed(now, w.Rank)
		if !known {
			return
		}
		for it := w.Newest; it != nil; {
			r, older := p.requests[it.ID], it.Older()
			wait := span((p.queue.Ahead(w.Rank, w.Team) - it.Cost) / speed)
			if !r.misses(now, wait) {
				break
			}
			p.queue.Remove(it)
			p.forget(r)
			p.refuse(r.ID, TooLate, retryAfter(wait))
			it = older
		}
	}
}
