package ratelimit

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// ColdLimiterConfig limits the requests to a cold backend server from all instances together.
type ColdLimiterConfig struct {
	RateFactor float64 // Factor of the rate that a cold backend server can handle.
	Slack      float64 // Requests per second that are allowed in addition.
}

const (
	// coldUsedFraction is the fraction of the limit that is used; the rest covers instances that disagree on the list of
	// instances.
	coldUsedFraction = 0.6
	// minColdShare is the lowest share, in requests per second, for which an instance may use a cold backend server.
	minColdShare = 1.0
)

// ColdLimiter limits the requests to cold backend servers. It is not safe for concurrent use.
type ColdLimiter struct {
	cfg     ColdLimiterConfig
	windows map[coldKey]*slidingWindow
}

// coldKey identifies a backend server and the instance that uses it. The hub counts separately for each instance for
// which it places requests.
type coldKey struct {
	server   fleet.Incarnation
	instance string
}

// NewColdLimiter returns a limiter that has counted no requests.
func NewColdLimiter(cfg ColdLimiterConfig) *ColdLimiter {
	return &ColdLimiter{cfg: cfg, windows: map[coldKey]*slidingWindow{}}
}

// Configure replaces the limits and keeps the counts.
func (c *ColdLimiter) Configure(cfg ColdLimiterConfig) { c.cfg = cfg }

// Allowed returns how many requests per second an instance may send to a cold backend server. The limit is divided among
// as many instances as get a useful share. Which ones these are follows from hashes that all instances compute alike.
func (c *ColdLimiter) Allowed(rate float64, s *fleet.Server, instance string, instances []string) int {
	limit := coldUsedFraction * (rate*c.cfg.RateFactor + c.cfg.Slack)
	sharers := max(1, min(len(instances), int(limit/minColdShare)))
	if rank(s.ID, instance, instances) >= sharers {
		return 0
	}
	return int(limit / float64(sharers))
}

// Take counts a request from an instance to a cold backend server if fewer than allowed were counted in the window, and
// reports whether it did.
func (c *ColdLimiter) Take(now time.Time, s *fleet.Server, instance string, allowed int) bool {
	key := coldKey{server: s.Incarnation(), instance: instance}
	w := c.windows[key]
	if w == nil {
		w = &slidingWindow{}
		c.windows[key] = w
	}
	return w.take(now, allowed)
}

// Free reports whether Take would succeed.
func (c *ColdLimiter) Free(now time.Time, s *fleet.Server, instance string, allowed int) bool {
	w := c.windows[coldKey{server: s.Incarnation(), instance: instance}]
	return allowed > 0 && (w == nil || w.count(now) < allowed)
}

// Sweep deletes the counts of backend servers without recent requests.
func (c *ColdLimiter) Sweep(now time.Time) {
	for key, w := range c.windows {
		if w.count(now) == 0 {
			delete(c.windows, key)
		}
	}
}

// rank returns the position of an instance in the rendezvous order for a backend server, starting at 0.
func rank(server, instance string, instances []string) int {
	own := rendezvous.Weight(server, instance)
	n := 0
	for _, other := range instances {
		if s := rendezvous.Weight(server, other); other != instance && (s > own || s == own && other > instance) {
			n++
		}
	}
	return n
}

// slidingWindow counts requests in a sliding time window.
type slidingWindow struct {
	times []time.Time // Times of the requests, oldest first.
}

// coldWindow is slightly longer than the second over which requests to cold backend servers are limited, to allow for
// transmission delays.
const coldWindow = 1100 * time.Millisecond

// count returns the number of requests in the window.
func (w *slidingWindow) count(now time.Time) int {
	for len(w.times) > 0 && now.Sub(w.times[0]) >= coldWindow {
		w.times = w.times[1:]
	}
	return len(w.times)
}

// take counts a request if there are fewer than limit in the window, and reports whether it did.
func (w *slidingWindow) take(now time.Time, limit int) bool {
	if w.count(now) >= limit {
		return false
	}
	w.times = append(w.times, now)
	return true
}
