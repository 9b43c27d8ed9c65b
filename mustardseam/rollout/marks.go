package rollout

import (
	"maps"
	"slices"
	"sync/atomic"
)

// RollbackMarks is a grow-only set of the IDs of rollouts that were rolled back. Its zero value is empty, and it is safe for
// concurrent use. Merging is commutative, associative and idempotent, so instances converge in whatever order marks arrive.
type RollbackMarks struct {
	ids atomic.Pointer[map[string]bool] // The map is never changed once published.
}

// Add marks a rollout and reports whether it was not marked before.
func (m *RollbackMarks) Add(id string) bool { return m.Merge([]string{id}) }

// Merge marks all given rollouts and reports whether any of them was not marked before; it ignores empty IDs.
func (m *RollbackMarks) Merge(ids []string) bool {
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
func (m *RollbackMarks) Has(id string) bool { return m.set()[id] }

// List returns the marked IDs in ascending order.
func (m *RollbackMarks) List() []string { return slices.Sorted(maps.Keys(m.set())) }

// with returns the published set with the IDs added, or nil when it contains all of them.
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

// set returns the published set, which must not be modified.
func (m *RollbackMarks) set() map[string]bool {
	if ids := m.ids.Load(); ids != nil {
		return *ids
	}
	return nil
}
