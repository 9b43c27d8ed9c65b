package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fair"
)

// Digest is the short state of a pool's home that other regions need for overflow.
type Digest struct {
	Tiers  []TierDigest  `json:"tiers,omitempty"` // Those with waiting requests, the highest first.
	Lowest int           `json:"lowest"`          // Rank of the lowest tier waiting; -1 when none waits.
	Limit  int           `json:"limit"`           // Requests at a time that the servers in service may run.
	Room   int           `json:"room"`            // Requests that could be granted now.
	Wait   time.Duration `json:"wait"`            // Nanoseconds that a request of the lowest tier waiting would wait.
}

// TierDigest is the waiting work of a tier.
type TierDigest struct {
	Rank    int           `json:"rank"`
	Waiting int           `json:"waiting"` // Requests.
	Tokens  float64       `json:"tokens"`
	Wait    time.Duration `json:"wait"` // Nanoseconds that a new request would wait; 0 when unknown.
}

// Digest returns the queue length by tier, the room, the lowest tier waiting and the expected wait.
func (p *Pool) Digest() Digest {
	d := Digest{Lowest: -1, Limit: p.limit, Room: p.room}
	for _, t := range p.queue.Tiers() {
		wait := p.tierWait(t)
		d.Tiers = append(d.Tiers, TierDigest{t.Rank, t.Items, t.Tokens, wait})
		d.Lowest, d.Wait = t.Rank, wait
	}
	return d
}

// tierWait estimates the time in which the waiting requests of the tier and of those above are served.
func (p *Pool) tierWait(t fair.Waiting) time.Duration {
	speed, known := p.speed(p.now, t.Rank)
	if !known {
		return 0
	}
	return span((p.queue.Ahead(t.Rank, "") + t.Tokens) / speed)
}
