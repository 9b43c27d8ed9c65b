package routing

import "time"

// Node is a backend server as the picker sees it; its owner sets the exported fields and calls Picker.Update.
type Node struct {
	Name       string
	Address    string
	DataCentre string
	Version    string
	Room       int     // Requests that may be dispatched.
	Load       float64 // Occupancy as a share of the limit, 0 to 1.
	Prefill    float64 // Prompt tokens per second.
	Base       time.Duration
	Factor     float64       // Slowness; 1 is the usual speed.
	Queue      time.Duration // Expected wait inside the server at the last report.

	id      uint32 // Changes when the server's cache is lost.
	zone    *zone
	place   int       // Place in zone.roomy, -1 without room.
	backlog float64   // Prompt tokens dispatched and probably not yet computed.
	asOf    time.Time // Time of backlog.
	trust   float64   // Share of the predicted cache hits that came true.
}

// Pending returns the prompt tokens that are probably still to be computed.
func (n *Node) Pending(now time.Time) float64 {
	if n.backlog <= 0 {
		return 0
	}
	return max(0, n.backlog-now.Sub(n.asOf).Seconds()*n.Prefill)
}

// first returns the expected seconds to the first token of a prompt of which hit tokens are probably cached.
func (n *Node) first(now time.Time, prompt, hit float64) float64 {
	compute := max(0, prompt-hit*n.trust) + n.Pending(now)
	factor := n.Factor
	if factor <= 0 {
		factor = 1
	}
	return factor*(compute/max(1, n.Prefill)+n.Base.Seconds()) + n.Queue.Seconds()
}
