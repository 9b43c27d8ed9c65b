package fleet

import "time"

// Change is one change of what an instance believes; exactly one of the pointers and names is set besides Revision.
type Change struct {
	Revision int64
	Config   *Config
	Server   *Server
	Gone     string       // Id of a backend server that has left.
	Leaving  *Incarnation // Backend server that said itself that it leaves.
	Lapse    bool         // The entry of Gone may have run out because the store was away.
	Out      string       // Data centre that is taken out, or taken back when Removed.
	Rollout  *Rollout
	Progress *Progress
	Quotas   *Quotas
	Service  string // That Progress is about.
	Node     *Node
	Removed  bool
	Time     time.Time // Steady clock; when this instance learned of it.
}
