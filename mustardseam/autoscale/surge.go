package autoscale

import "time"

// surge is a load above the capacity of the backend servers in force; its zero value is no surge.
type surge struct {
	since     time.Time      // Start of the first sample above the capacity; zero when there is no surge.
	orderedAt time.Time      // Time of the first order for the surge; zero before.
	before    map[string]int // Numbers in force before that order, by data centre.
}

// active reports whether there is a surge.
func (s surge) active() bool { return !s.since.IsZero() }

// surgeMargin is the factor on the duration of earlier surges after which a surge counts as longer than those.
const surgeMargin = 1.25

// confirmAfter returns how long a surge must last before backend servers are ordered for it. The first surge gets an order
// at once, which is withdrawn if the surge ends while the backend servers start. After surges that ended too early for
// their orders to pay, a surge must first outlast them.
func (h *History) confirmAfter(cfg Config) time.Duration {
	if len(h.shortSurges) == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, s := range h.shortSurges {
		longest = max(longest, s.to.Sub(s.from))
	}
	return min(time.Duration(surgeMargin*float64(longest))+time.Second, cfg.leadTime())
}
