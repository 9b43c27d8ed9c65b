package share

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// ColdConfig bounds what cold backend servers get from all instances together.
type ColdConfig struct {
	Excess float64 // Times the rate that a cold backend server bears.
	Slack  float64 // Requests in a second beyond that.
}

const (
	// coldPart is the part of the bound that is used; the rest covers instances that see other members.
	coldPart = 0.6
	// leastShare is the fewest requests in a second that make it worth to let an instance use a cold backend server.
	leastShare = 1.0
)

// Cold admits requests to cold backend servers; it is not safe for concurrent use.
type Cold struct {
	cfg     ColdConfig
	windows map[coldKey]*window
}

// coldKey is a backend server and the instance that uses it; the hub counts for each instance for which it places.
type coldKey struct {
	server fleet.Incarnation
	node   string
}

// NewCold returns a bound without accounts.
func NewCold(cfg ColdConfig) *Cold {
	return &Cold{cfg: cfg, windows: map[coldKey]*window{}}
}

// Configure replaces the bounds; the accounts stay.
func (c *Cold) Configure(cfg ColdConfig) { c.cfg = cfg }

// Allowed returns how many requests an instance may send to a cold backend server in a second. The bound is dealt to as
// many instances as get a useful share; which ones these are follows from hashes that all instances compute alike.
func (c *Cold) Allowed(rate float64, s *fleet.Server, self string, nodes []string) int {
	bound := coldPart * (rate*c.cfg.Excess + c.cfg.Slack)
	holders := max(1, min(len(nodes), int(bound/leastShare)))
	if rank(s.ID, self, nodes) >= holders {
		return 0
	}
	return int(bound / float64(holders))
}

// Take takes one of allowed requests in a second from an instance to a cold backend server.
func (c *Cold) Take(now time.Time, s *fleet.Server, node string, allowed int) bool {
	key := coldKey{server: s.Incarnation(), node: node}
	w := c.windows[key]
	if w == nil {
		w = &window{}
		c.windows[key] = w
	}
	return w.take(now, allowed)
}

// Free reports whether a request could be taken.
func (c *Cold) Free(now time.Time, s *fleet.Server, node string, allowed int) bool {
	w := c.windows[coldKey{server: s.Incarnation(), node: node}]
	return allowed > 0 && (w == nil || w.used(now) < allowed)
}

// Sweep forgets backend servers that got nothing lately.
func (c *Cold) Sweep(now time.Time) {
	for key, w := range c.windows {
		if w.used(now) == 0 {
			delete(c.windows, key)
		}
	}
}

// rank returns the place of an instance in the order of hashes for a backend server.
func rank(server, self string, nodes []string) int {
	own := rendezvous.Weight(server, self)
	n := 0
	for _, node := range nodes {
		if s := rendezvous.Weight(server, node); node != self && (s > own || s == own && node > self) {
			n++
		}
	}
	return n
}

// window counts requests in a sliding window.
type window struct {
	times []time.Time
}

// span is a little more than the second in which requests to cold backend servers are counted, for the time on the way.
const span = 1100 * time.Millisecond

func (w *window) used(now time.Time) int {
	for len(w.times) > 0 && now.Sub(w.times[0]) >= span {
		w.times = w.times[1:]
	}
	return len(w.times)
}

func (w *window) take(now time.Time, limit int) bool {
	if w.used(now) >= limit {
		return false
	}
	w.times = append(w.times, now)
	return true
}
