package routing

import (
	"slices"
	"time"
)

// choice compares the servers that are offered for one request.
type choice struct {
	now     time.Time
	r       Request
	size    float64 // Tokens per block of the prefix.
	best    *Node
	hit     int // Blocks that the best server holds.
	score   float64
	avoided bool // The best server is one to avoid.
}

// offer keeps the server if it is better than the best so far.
func (b *choice) offer(n *Node, blocks int) {
	avoided := len(b.r.Avoid) > 0 && slices.Contains(b.r.Avoid, n.Name)
	if avoided && !b.avoided {
		return
	}
	score := n.first(b.now, float64(b.r.Prompt), float64(blocks)*b.size) + loadPrice*n.Load
	if n.DataCentre != b.r.DataCentre {
		score += price
	}
	if b.best == nil || b.avoided && !avoided || score < b.score {
		b.best, b.hit, b.score, b.avoided = n, blocks, score, avoided
	}
}
