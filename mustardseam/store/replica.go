package store

import (
	"sort"
	"time"
)

const (
	// maxLogLength is the number of changes kept to answer other instances. When the log is full, its older half is dropped;
	// the changes of a simultaneous start of the 3,000 backend servers and 350 instances of a large fleet fit in the rest.
	maxLogLength = 8192
	// maxTombstones is the number of deleted keys whose revision is kept, so that an outdated item does not restore a key.
	maxTombstones = 4096
	// holdTime is how long a known state stays in force that a restored store lacks. The writers of lost items write them again
	// within seconds.
	holdTime = 10 * time.Second
)

// Replica is a local copy of the store's items with a log of recent changes; it is not safe for concurrent use.
type Replica struct {
	cfg        ReplicaConfig
	items      map[string]Item
	tombstones map[string]tombstone // Deleted keys.
	held       map[string]heldItem  // Keys whose state in the store is older than the known one.
	log        []Item               // Latest changes in the order in which they were applied.
	logStart   int64                // Revision after which the log holds all changes.
	at         Position             // Position up to which the replica is complete.
}

// ReplicaConfig holds what a Replica needs to know of the items when the store was restored from a copy.
type ReplicaConfig struct {
	// Supersedes reports whether an item in the store is newer than the known one of an earlier era.
	Supersedes func(listed, known Item) bool
	// IsLeased reports whether the item of a key is removed, and written again, by the lease of its writer.
	IsLeased func(key string) bool
}

// tombstone is what is kept of a deleted key.
type tombstone struct {
	revision int64 // Revision of the deletion.
	last     Item  // Last item of a leased key.
}

// heldItem is a key whose state in a restored store is older than the known one. Its writer is expected to write it again.
type heldItem struct {
	listed *Item     // Item in the store; nil if there is none.
	until  time.Time // Time at which the state in the store is taken over; zero until the next ReleaseHeld.
}

// NewReplica returns an empty replica.
func NewReplica(cfg ReplicaConfig) *Replica {
	return &Replica{cfg: cfg, items: map[string]Item{}, tombstones: map[string]tombstone{}, held: map[string]heldItem{}}
}

// Position returns the position up to which the replica is complete.
func (r *Replica) Position() Position { return r.at }

// Item returns the item of a key, which is zero if the key does not exist, and whether the store has it in this state. The
// revision of the item is that of the state in the store, 0 if there is none.
func (r *Replica) Item(key string) (i Item, saved bool) {
	i, known := r.items[key]
	_, held := r.held[key]
	return i, known && !held
}

// Apply applies changes of the replica's era that continue it without a gap up to the given revision, and returns those that
// had an effect.
func (r *Replica) Apply(items []Item, revision int64) []Item {
	var changed []Item
	for _, i := range items {
		if i.Era == 0 {
			i.Era = r.at.Era
		}
		if r.put(i) {
			changed = append(changed, i)
		}
	}
	r.at.Revision = max(r.at.Revision, revision)
	return changed
}

// Reset applies a complete list of items as of a position and returns the resulting changes, including the deletion of keys
// that are not in the list. The position must not be of an earlier era than the replica.
func (r *Replica) Reset(items []Item, at Position) []Item {
	if r.at.Revision == 0 {
		r.at.Era = at.Era
	}
	if at.Era != r.at.Era {
		return r.restore(items, at)
	}
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.Key] = true
	}
	var missing []Item
	for key, i := range r.items {
		if _, held := r.held[key]; !held && !listed[key] && i.Revision <= at.Revision {
			missing = append(missing, Item{Key: key, Revision: at.Revision, Deleted: true})
		}
	}
	sortByKey(missing)
	changed := r.Apply(items, at.Revision)
	return append(changed, r.Apply(missing, at.Revision)...)
}

// After returns the changes after a position, or all items and true when the log does not reach back that far. It returns
// nothing for a position of a later era.
func (r *Replica) After(at Position) (items []Item, whole bool) {
	if at.Era > r.at.Era {
		return nil, false
	}
	if at.Era < r.at.Era || at.Revision < r.logStart || at.Revision == 0 {
		for _, i := range r.items {
			items = append(items, i)
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Revision < items[j].Revision })
		return items, true
	}
	for _, i := range r.log {
		if i.Revision > at.Revision {
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
	case r.tombstones[i.Key].revision >= i.Revision && r.tombstones[i.Key].revision > 0:
		return false
	case i.Deleted && !known:
		t := r.tombstones[i.Key]
		t.revision = i.Revision
		r.tombstones[i.Key] = t
		r.pruneTombstones()
		delete(r.held, i.Key)
		return false
	}
	delete(r.held, i.Key)
	if i.Revision == 0 {
		r.held[i.Key] = heldItem{} // Another instance holds it.
	}
	if i.Deleted {
		t := tombstone{revision: i.Revision}
		if r.cfg.IsLeased(i.Key) {
			t.last = old
		}
		delete(r.items, i.Key)
		r.tombstones[i.Key] = t
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

func sortByKey(items []Item) {
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
}

// pruneTombstones drops the older half of the tombstones when there are more than maxTombstones.
func (r *Replica) pruneTombstones() {
	if len(r.tombstones) <= maxTombstones {
		return
	}
	revisions := make([]int64, 0, len(r.tombstones))
	for _, t := range r.tombstones {
		revisions = append(revisions, t.revision)
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	limit := revisions[len(revisions)/2]
	for key, t := range r.tombstones {
		if t.revision <= limit {
			delete(r.tombstones, key)
		}
	}
}
