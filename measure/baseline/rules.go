package baseline

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// roundRobin returns the next server in turn that has a free slot, or nil.
func (b *base) roundRobin(a pool.Ask) *server {
	for range b.servers {
		s := b.servers[b.next%len(b.servers)]
		b.next++
		if b.usable(s, a) && s.running < s.limit() {
			return s
		}
	}
	return nil
}

// leastLoad returns the server with the lowest share of its limit taken, by its last report, or nil.
func (b *base) leastLoad(a pool.Ask) *server {
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

// hasSlot reports whether the team runs less than its fixed share of all slots; each team has at least one.
func (b *base) hasSlot(team string) bool {
	slots, running, weight, all := 0, 0, 0.0, 0.0
	for _, s := range b.servers {
		if !s.out {
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
