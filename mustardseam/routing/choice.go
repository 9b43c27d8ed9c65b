package routing

import (
	"slices"
	"time"
)

// choice holds the best of the servers considered for one request.
type choice struct {
	now            time.Time // Time of the pick.
	r              Request
	tokensPerBlock float64 // Prompt tokens per prefix block.
	best           *Node   // Best server so far; nil if none was considered.
	cachedBlocks   int     // Prefix blocks that the best server probably has cached.
	score          float64 // Expected cost of the best server, in seconds; lower is better.
	bestAvoided    bool    // Whether the best server is in Request.Avoid.
}

// consider makes the server the best one if it is better than the best one so far. The argument blocks is the number of
// prefix blocks that it probably has cached.
func (c *choice) consider(n *Node, blocks int) {
	avoided := len(c.r.Avoid) > 0 && slices.Contains(c.r.Avoid, n.Name)
	if avoided && !c.bestAvoided {
		return
	}
	score := n.expectedFirstToken(c.now, float64(c.r.PromptTokens), float64(blocks)*c.tokensPerBlock) +
		fullLoadPenalty*n.Load
	if n.DataCentre != c.r.DataCentre {
		score += remotePenalty
	}
	if c.best == nil || c.bestAvoided && !avoided || score < c.score {
		c.best, c.cachedBlocks, c.score, c.bestAvoided = n, blocks, score, avoided
	}
}
