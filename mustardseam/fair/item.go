package fair

// Item is one waiting request; it may be in at most one queue.
type Item struct {
	ID    string
	Team  string
	Group string
	Tier  int     // Rank; 0 is the highest tier.
	Lane  string  // Items of one lane can be served by the same backend servers.
	Cost  float64 // Estimated tokens.

	seq    uint64 // Order of arrival.
	leaf   *entry // Nil when the item is in no queue.
	before *Item  // Neighbours in the lane of the group, in order of service.
	after  *Item
	older  *Item // Neighbours among the items of the team, in order of arrival.
	newer  *Item
}

// Waits reports whether the item is in a queue.
func (it *Item) Waits() bool { return it.leaf != nil }

// Older returns the item of the same team and tier that arrived before this one, or nil.
func (it *Item) Older() *Item { return it.older }
