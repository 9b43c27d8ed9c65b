package revision

import "sync/atomic"

// Holder publishes the configuration in force by read-copy-update; its zero value holds none.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, nil before the first one.
func (h *Holder) Current() *Config { return h.current.Load() }

// Apply puts a configuration in force and reports whether it did; it never replaces one of the same or a higher
// revision.
func (h *Holder) Apply(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Revision >= c.Revision {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
