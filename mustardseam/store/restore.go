package store

import (
	"bytes"
	"time"
)

// restore applies a complete list of a later era. The store came back from a copy: what it lacks or has in an older state
// may have been acknowledged before, and revisions of both eras are not comparable. A known state that is not older stays in
// force until its writer has written it again, for at most holdTime; items with a lease are gone at once.
func (r *Replica) restore(items []Item, at Position) []Item {
	known, deleted := r.items, r.tombstones
	*r = *NewReplica(r.cfg)
	r.at, r.logStart = at, at.Revision
	var changed []Item
	for _, i := range items {
		i.Era = at.Era
		old, isKnown := known[i.Key]
		if !isKnown && r.cfg.IsLeased(i.Key) {
			old, isKnown = deleted[i.Key].last, deleted[i.Key].last.Key != ""
		}
		_, stillKnown := known[i.Key]
		switch {
		case isKnown && stillKnown && bytes.Equal(i.Value, old.Value):
			i.Era = old.Era
			r.items[i.Key] = i
		case !isKnown || r.cfg.Supersedes(i, old):
			r.items[i.Key] = i
			changed = append(changed, i)
		case stillKnown:
			r.hold(&i, Item{Key: i.Key, Value: old.Value, Revision: i.Revision, Era: old.Era})
		default:
			r.tombstones[i.Key] = tombstone{revision: i.Revision, last: old}
			r.held[i.Key] = heldItem{listed: &i}
		}
		if _, held := r.held[i.Key]; i.Revision == 0 && !held {
			r.held[i.Key] = heldItem{}
		}
		delete(known, i.Key)
	}
	var missing []Item
	for key, i := range known {
		if r.cfg.IsLeased(key) {
			missing = append(missing, Item{Key: key, Revision: at.Revision, Deleted: true, Era: at.Era})
			r.tombstones[key] = tombstone{revision: at.Revision, last: i}
			continue
		}
		i.Revision = 0
		r.hold(nil, i)
	}
	for key, t := range deleted {
		if _, known := r.items[key]; !known && t.last.Key != "" && r.tombstones[key].last.Key == "" {
			r.tombstones[key] = tombstone{last: t.last} // The next copy may have it.
		}
	}
	sortByKey(missing)
	return append(changed, missing...)
}

// hold keeps the known item of a key whose state in the store is older.
func (r *Replica) hold(listed *Item, known Item) {
	r.items[known.Key] = known
	r.held[known.Key] = heldItem{listed: listed}
}

// ReleaseHeld takes over the state in the store of the keys that were not written again in time, and returns the changes.
func (r *Replica) ReleaseHeld(now time.Time) []Item {
	var changed []Item
	for key, h := range r.held {
		if h.until.IsZero() {
			h.until = now.Add(holdTime)
			r.held[key] = h
		}
		if now.Before(h.until) {
			continue
		}
		delete(r.held, key)
		if h.listed != nil {
			delete(r.tombstones, key)
			r.items[key] = *h.listed
			changed = append(changed, *h.listed)
			continue
		}
		delete(r.items, key)
		changed = append(changed, Item{Key: key, Revision: r.at.Revision, Deleted: true, Era: r.at.Era})
	}
	sortByKey(changed)
	return changed
}

// Held returns the number of keys whose state in the store is older than the known one.
func (r *Replica) Held() int { return len(r.held) }
