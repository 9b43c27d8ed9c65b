package rollout

import "sync/atomic"

// Marks is the grow-only set of the ids of rollouts that were taken back; its zero value is empty and it is safe for
// concurrent use.
type Marks struct {
	ids atomic.Pointer[map[string]bool]
}

// Add sets the mark of a rollout and reports whether it was new.
func (m *Marks) Add(id string) bool { return m.Merge([]string{id}) }

// Merge sets the marks of all given rollouts and reports whether any was new.
func (m *Marks) Merge(ids []string) bool { return false }

// Has reports whether the rollout is marked.
func (m *Marks) Has(id string) bool { return false }

// List returns the marked ids in ascending order.
func (m *Marks) List() []string { return nil }
