package revision

import "sync/atomic"

// Holder publishes the current configuration by read-copy-update. The zero value holds none.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the current configuration, nil before the first one.
func (h *Holder) Current() *Config { return h.current.Load() }

// Apply makes c the current configuration and reports whether it did. It never replaces a configuration of the same or
// a higher revision.
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
