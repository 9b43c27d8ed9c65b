package rollout

import (
	"maps"
	"slices"
	"sync/atomic"
)

// Marks is the grow-only set of the ids of rollouts that were taken back; its zero value is empty and it is safe for
// concurrent use. Merging is commutative, associative and idempotent, so instances agree in whatever order marks arrive.
type Marks struct {
	ids atomic.Pointer[map[string]bool] // The map is never changed once published.
}

// Add sets the mark of a rollout and reports whether it was new.
func (m *Marks) Add(id string) bool { return m.Merge([]string{id}) }

// Merge sets the marks of all given rollouts and reports whether any was new.
func (m *Marks) Merge(ids []string) bool {
	for {
		old := m.ids.Load()
		next := with(old, ids)
		if next == nil {
			return false
		}
		if m.ids.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// Has reports whether the rollout is marked.
func (m *Marks) Has(id string) bool { return m.set()[id] }

// List returns the marked ids in ascending order.
func (m *Marks) List() []string { return slices.Sorted(maps.Keys(m.set())) }

// with returns the set with the ids added, nil when it has them all.
func with(published *map[string]bool, ids []string) map[string]bool {
	var old map[string]bool
	if published != nil {
		old = *published
	}
	if !slices.ContainsFunc(ids, func(id string) bool { return id != "" && !old[id] }) {
		return nil
	}
	next := make(map[string]bool, len(old)+len(ids))
	maps.Copy(next, old)
	for _, id := range ids {
		if id != "" {
			next[id] = true
		}
	}
	return next
}

// set returns the published set, which must not be changed.
func (m *Marks) set() map[string]bool {
	if ids := m.ids.Load(); ids != nil {
		return *ids
	}
	return nil
}
