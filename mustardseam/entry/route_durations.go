package entry

import (
	"sync"
	"time"
)

// routeDurationsAge is how long the durations of a route are kept after its latest request.
const routeDurationsAge = time.Minute

// routeDurations records how long the requests of each route take; its methods are safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]*durationsOfRoute // Keyed by the name of the route; guarded by mu.
}

// durationsOfRoute holds the recent durations of the requests of one route.
type durationsOfRoute struct {
	latest time.Time
	total  recentDurations // From the arrival to the end.
	run    recentDurations // From the latest send to a backend server to the end.
}

func newRouteDurations() *routeDurations {
	return &routeDurations{routes: map[string]*durationsOfRoute{}}
}

// record records a request that has ended.
func (d *routeDurations) record(now time.Time, route string, received, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		r = &durationsOfRoute{}
		d.routes[route] = r
	}
	r.latest = now
	r.total.add(now.Sub(received))
	r.run.add(now.Sub(sent))
}

// summary returns how long the requests of a route take from their arrival, and from the latest send to a backend server.
func (d *routeDurations) summary(route string) (total, run durationSummary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.routes[route]; r != nil {
		return r.total.summary(), r.run.summary()
	}
	return durationSummary{}, durationSummary{}
}

// sweep removes routes that are no longer used.
func (d *routeDurations) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, r := range d.routes {
		if now.Sub(r.latest) > routeDurationsAge {
			delete(d.routes, name)
		}
	}
}
