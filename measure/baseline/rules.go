package baseline

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// roundRobin returns the next usable server in turn that has a free slot, or nil if there is none.
func (b *scheduler) roundRobin(a pool.Ask) *server {
	for range b.servers {
		s := b.servers[b.nextServer%len(b.servers)]
		b.nextServer++
		if b.usable(s, a) && s.running < s.limit() {
			return s
		}
	}
	return nil
}

// leastLoad returns the usable server with the lowest load relative to its limit, according to its last report, or nil
// if all are full.
func (b *scheduler) leastLoad(a pool.Ask) *server {
	var best *server
	for _, s := range b.servers {
		if !b.usable(s, a) || s.reported >= s.limit() {
			continue
		}
		if best == nil || s.reported*best.limit() < best.reported*s.limit() {
			best = s
		}
	}
	return best
}

// hasSlot reports whether the team uses fewer slots than its fixed share. Each team has at least one slot.
func (b *scheduler) hasSlot(team string) bool {
	slots, running, weight, all := 0, 0, 0.0, 0.0
	for _, s := range b.servers {
		if !s.outOfService {
			slots += s.limit()
		}
	}
	for _, t := range b.cfg.Teams {
		all += t.Weight
		if t.Name == team {
			weight = t.Weight
		}
	}
	for _, j := range b.running {
		if j.team == team {
			running++
		}
	}
	return running < max(1, int(float64(slots)*weight/all))
}
