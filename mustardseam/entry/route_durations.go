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

	firstEvent recentDurations // From the arrival to the first event of a stream.
	event      recentDurations // Mean time between the events of a stream.
}

// routeSummary describes the recent durations of a route; it is immutable.
type routeSummary struct {
	total, run, firstEvent, event durationSummary

	running time.Duration // Longest time for which a request has been at a backend server; 0 if none is.
}

// withRunning returns the summary with the longest time for which a request has been at a backend server.
func (s routeSummary) withRunning(d time.Duration) routeSummary {
	s.running = d
	return s
}

// streamBound returns a duration from its arrival within which a stream of at most n events can be expected to end. It returns
// false if n is 0 or too little is known of earlier streams.
func (s routeSummary) streamBound(n int) (time.Duration, bool) {
	if n <= 0 || !s.firstEvent.known || !s.event.known {
		return 0, false
	}
	perEvent := s.event.highest()
	if perEvent > 0 && n > int(maxStreamBound/perEvent) {
		return maxStreamBound, true
	}
	return s.firstEvent.bound() + time.Duration(n)*perEvent, true
}

// maxStreamBound is the longest bound of a stream. It exceeds every time limit, and prevents an overflow.
const maxStreamBound = 24 * time.Hour

func newRouteDurations() *routeDurations {
	return &routeDurations{routes: map[string]*durationsOfRoute{}}
}

// record records a request that has ended.
func (d *routeDurations) record(now time.Time, route string, received, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.used(now, route)
	r.total.add(now.Sub(received))
	r.run.add(now.Sub(sent))
}

// recordStream records the pace of a stream that has ended.
func (d *routeDurations) recordStream(now time.Time, route string, firstEvent, event time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.used(now, route)
	r.firstEvent.add(firstEvent)
	r.event.add(event)
}

// used returns the durations of a route in use. mu must be held.
func (d *routeDurations) used(now time.Time, route string) *durationsOfRoute {
	r := d.routes[route]
	if r == nil {
		r = &durationsOfRoute{}
		d.routes[route] = r
	}
	r.latest = now
	return r
}

// summary describes the durations of a route.
func (d *routeDurations) summary(route string) routeSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return routeSummary{}
	}
	return routeSummary{
		total: r.total.summary(minDurations), run: r.run.summary(minDurations),
		firstEvent: r.firstEvent.summary(minStreams), event: r.event.summary(minStreams),
	}
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
