package routing

import "time"

// Node is a backend server, not an instance, as seen by the picker. The owner sets the exported fields and then calls
// Picker.Update.
type Node struct {
	Name         string
	Address      string
	DataCentre   string
	Version      string
	Room         int           // Requests that may be granted.
	Load         float64       // Occupancy as a share of the limit: 0 to 1, or above 1 if overloaded.
	PrefillSpeed float64       // Prefill speed in prompt tokens per second.
	BaseLatency  time.Duration // Time to first token without prefill and queueing.
	Slowness     float64       // Slowdown relative to equal servers; 1 is the usual speed, and 0 is treated as 1.
	QueueDelay   time.Duration // Expected wait inside the server at the last report.

	id             uint32 // ID in the prefix index; changes when the server's cache is lost.
	zone           *versionZone
	availableIndex int       // Index in versionZone.available; -1 without room.
	pendingTokens  float64   // Prompt tokens of grants that were probably not computed yet at pendingAt.
	pendingAt      time.Time // Time at which pendingTokens was computed.
	hitRatio       float64   // Average share of the predicted cache hits that occurred.
}

// PendingTokens returns the prompt tokens of granted requests that are probably not computed yet.
func (n *Node) PendingTokens(now time.Time) float64 {
	if n.pendingTokens <= 0 {
		return 0
	}
	return max(0, n.pendingTokens-now.Sub(n.pendingAt).Seconds()*n.PrefillSpeed)
}

// expectedFirstToken returns the expected time to first token in seconds for a prompt of which hit tokens are probably
// cached.
func (n *Node) expectedFirstToken(now time.Time, prompt, hit float64) float64 {
	compute := max(0, prompt-hit*n.hitRatio) + n.PendingTokens(now)
	factor := n.Slowness
	if factor <= 0 {
		factor = 1
	}
	return factor*(compute/max(1, n.PrefillSpeed)+n.BaseLatency.Seconds()) + n.QueueDelay.Seconds()
}
