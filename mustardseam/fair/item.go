package fair

// Item is a waiting request. It may be in at most one queue.
type Item struct {
	ID    string
	Team  string
	Group string
	Tier  int     // Number of the tier, also called rank; 0 is the highest.
	Lane  string  // Name of the route; items of a lane can be served by the same backend servers.
	Cost  float64 // Estimated cost in tokens.

	seq        uint64    // Sequence number of arrival.
	laneFlow   *laneFlow // Part of the group that waits in the lane; nil if the item is in no queue.
	prevInLane *Item     // Previous item of the group in the lane, in service order.
	nextInLane *Item     // Next item of the group in the lane, in service order.
	older      *Item     // Previous item of the team in arrival order.
	newer      *Item     // Next item of the team in arrival order.
}

// IsQueued reports whether the item is in a queue.
func (it *Item) IsQueued() bool { return it.laneFlow != nil }

// Older returns the previous item of the same team and tier in arrival order, or nil.
func (it *Item) Older() *Item { return it.older }
