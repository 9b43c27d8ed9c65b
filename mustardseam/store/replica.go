package store

import "sort"

const (
	// maxLogLength is the number of changes kept to answer other instances. When the log is full, its older half is dropped;
	// the changes of a simultaneous start of the 3,000 backend servers and 350 instances of a large fleet fit in the rest.
	maxLogLength = 8192
	// maxTombstones is the number of deleted keys whose revision is kept, so that an outdated item does not restore a key.
	maxTombstones = 4096
)

// Replica is a local copy of the store's items with a log of recent changes; it is not safe for concurrent use.
type Replica struct {
	items      map[string]Item
	tombstones map[string]int64 // Revision at which each deleted key was deleted.
	log        []Item           // Latest changes in the order in which they were applied.
	logStart   int64            // Revision after which the log holds all changes.
	revision   int64            // Revision up to which the replica is complete.
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{items: map[string]Item{}, tombstones: map[string]int64{}} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() int64 { return r.revision }

// Item returns the item of a key and whether the key exists.
func (r *Replica) Item(key string) (Item, bool) {
	i, ok := r.items[key]
	return i, ok
}

// Apply applies changes that continue the replica without a gap up to the given revision, and returns those that had an
// effect.
func (r *Replica) Apply(items []Item, revision int64) []Item {
	var changed []Item
	for _, i := range items {
		if r.put(i) {
			changed = append(changed, i)
		}
	}
	r.revision = max(r.revision, revision)
	return changed
}

// Reset applies a complete list of items as of a revision and returns the resulting changes, including the deletion of
// keys that are not in the list.
func (r *Replica) Reset(items []Item, revision int64) []Item {
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.Key] = true
	}
	var missing []Item
	for key, i := range r.items {
		if !listed[key] && i.Revision <= revision {
			missing = append(missing, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].Key < missing[j].Key })
	changed := r.Apply(items, revision)
	return append(changed, r.Apply(missing, revision)...)
}

// After returns the changes after a revision, or all items and true when the log does not reach back that far.
func (r *Replica) After(revision int64) (items []Item, whole bool) {
	if revision < r.logStart || revision == 0 {
		for _, i := range r.items {
			items = append(items, i)
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Revision < items[j].Revision })
		return items, true
	}
	for _, i := range r.log {
		if i.Revision > revision {
			items = append(items, i)
		}
	}
	return items, false
}

// put applies one item and reports whether it had an effect.
func (r *Replica) put(i Item) bool {
	old, known := r.items[i.Key]
	switch {
	case known && old.Revision >= i.Revision && !(i.Deleted && old.Revision == i.Revision):
		return false
	case r.tombstones[i.Key] >= i.Revision && r.tombstones[i.Key] > 0:
		return false
	case i.Deleted && !known:
		r.tombstones[i.Key] = i.Revision
		return false
	}
	if i.Deleted {
		delete(r.items, i.Key)
		r.tombstones[i.Key] = i.Revision
		r.pruneTombstones()
	} else {
		r.items[i.Key] = i
		delete(r.tombstones, i.Key)
	}
	r.log = append(r.log, i)
	if len(r.log) > maxLogLength {
		drop := len(r.log) - maxLogLength/2
		for _, old := range r.log[:drop] {
			r.logStart = max(r.logStart, old.Revision)
		}
		r.log = append([]Item(nil), r.log[drop:]...)
	}
	return true
}

// pruneTombstones drops the older half of the tombstones when there are more than maxTombstones.
func (r *Replica) pruneTombstones() {
	if len(r.tombstones) <= maxTombstones {
		return
	}
	revisions := make([]int64, 0, len(r.tombstones))
	for _, revision := range r.tombstones {
		revisions = append(revisions, revision)
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	limit := revisions[len(revisions)/2]
	for key, revision := range r.tombstones {
		if revision <= limit {
			delete(r.tombstones, key)
		}
	}
}
