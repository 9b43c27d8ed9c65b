package autoscale

import (
	"slices"
	"time"
)

// surge is a load above the capacity of the backend servers in force; its zero value is no surge.
type surge struct {
	since     time.Time      // Start of the first sample above the capacity; zero when there is no surge.
	orderedAt time.Time      // Time of the first order for the surge; zero before.
	before    map[string]int // Numbers in force before that order, by data centre.
	probedAt  time.Time      // Time of the first order that takes it back; zero before.
	probed    int            // Backend servers that were listed then and not draining.
}

// active reports whether there is a surge.
func (s surge) active() bool { return !s.since.IsZero() }

// probeTime is the time after the first order that takes backend servers back until the others are taken back. The platform
// chooses which ones it removes. If it removes running ones instead of those that start, the list shows it within this time.
const probeTime = 2 * time.Second

// surgeMargin is the factor on the duration of earlier surges after which a surge counts as longer than those.
const surgeMargin = 1.25

// confirmAfter returns how long a surge must last before backend servers are ordered for it. The first surge gets an order
// at once, which is withdrawn if the surge ends while the backend servers start. After surges that ended too early for
// their orders to pay, a surge must first outlast them.
func (h *History) confirmAfter(cfg Config) time.Duration {
	if len(h.shortSurges) == 0 {
		return 0
	}
	return min(time.Duration(surgeMargin*float64(slices.Max(h.shortSurges)))+time.Second, cfg.leadTime())
}

// withdraw returns the decision that takes back the order for a surge that ended before its backend servers have started. The
// first order takes back one backend server for each data centre; the rest follows if no running one was removed for it.
func (h *History) withdraw(cfg Config, now time.Time, o Observation, c capacity, l loads, d Decision) Decision {
	before := sum(h.surge.before)
	if h.surge.probedAt.IsZero() {
		total := max(before, d.InForce-len(d.Desired))
		if total >= d.InForce {
			h.endSurge(now, cfg)
			return d.withReason(Enough, d.Desired)
		}
		return d.withReason(Withdraw, spread(cfg, d.Desired, total))
	}
	if now.Sub(h.surge.probedAt) < probeTime {
		return d.withReason(Withdraw, d.Desired)
	}
	removed := o.replacing() || h.listed() < h.surge.probed
	h.endSurge(now, cfg)
	total := max(before, c.serversFor(h.sustained(now, l)))
	if removed || total >= d.InForce {
		return d.withReason(Enough, d.Desired)
	}
	return d.withReason(Withdraw, spread(cfg, d.Desired, total))
}
