package store

import "time"

// After returns the changes after a position up to the replica's position, or all items and whole set when the changes are
// no longer available.
func (f *Follower) After(at Position) (items []Item, whole bool, upTo Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, whole = f.replica.After(at)
	return items, whole, f.replica.Position()
}

// ApplyRelayed applies changes that another instance relayed. They cover the revisions after from up to upTo, or all items
// if whole is set; changes of another era and those that would leave a gap are ignored. The changes come from a response of
// the store of the given age. An instance that names no era, 0, is taken to be in that of the replica.
func (f *Follower) ApplyRelayed(items []Item, whole bool, from, upTo Position, age time.Duration) {
	now := time.Now()
	f.mu.Lock()
	at := f.replica.Position()
	if from.Era == 0 {
		from.Era = at.Era
	}
	if upTo.Era == 0 {
		upTo.Era = at.Era
	}
	if at.Revision > 0 && upTo.Era < at.Era || !whole && (from.Era != at.Era || upTo.Era != at.Era || from.Revision > at.Revision) {
		f.mu.Unlock()
		return
	}
	restored := at.Revision > 0 && upTo.Era != at.Era
	var changed []Item
	if whole {
		changed = f.replica.Reset(items, upTo)
	} else {
		changed = f.replica.Apply(items, upTo.Revision)
	}
	f.recordEra(upTo)
	f.recordRestoration(restored, now)
	answered := now.Add(-age)
	if answered.After(f.lastResponse) {
		f.lastResponse = answered
	}
	recovered := f.unavailable && answered.After(f.failedAt)
	if recovered {
		// An instance that gets relayed changes makes no calls by which it would notice the end of the outage.
		f.unavailable = false
	}
	f.notifyAndUnlock(changed, now)
	if recovered {
		f.cfg.OnAvailable()
	}
}
