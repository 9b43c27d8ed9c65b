package autoscale

import (
	"slices"
	"time"
)

const (
	// historyLength bounds the samples that are kept. At one a second they show two periods of up to a minute.
	historyLength = 128
	// maxGap is the longest time between two observations that is counted as one sample. After a longer one, such as a
	// suspension of the machine, the counts do not show at what rate requests arrived.
	maxGap = 3 * time.Second
	// listedMemory is the time for which the highest listed number is kept, in lead times. Crashed backend servers may be
	// missing from the list until they are found out and others have started.
	listedMemory = 3
	// maxSurgeCount bounds the durations of ended surges that are kept.
	maxSurgeCount = 8
)

// History is what is remembered of a service between decisions. Its size is bounded. It is not safe for concurrent use.
type History struct {
	samples     []sample // Demand, oldest first.
	observed    time.Time
	waiting     int       // Waiting requests at the latest observation.
	trafficFrom time.Time // Start of the first sample with a request; zero before.
	listedFrom  time.Time // Time of the first current list with backend servers; zero before.
	calmFrom    time.Time // End of the latest crash, outage of the list or absence of a data centre.
	changedAt   time.Time // Time of the latest change of the desired numbers.
	raisedAt    time.Time // Time of the latest change to a higher number.
	fell        bool      // The numbers have fallen since the latest rise.
	holdFactor  int       // Factor on the hold time; 0 stands for 1.
	zones       map[string]*zone
	surge       surge
	shortSurges []time.Duration // Durations of surges that ended within the lead time, oldest first.
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{zones: map[string]*zone{}} }

// BeginTerm forgets the orders sent so far. It is called when the instance becomes the holder of the duty: another instance
// may have sent orders since.
func (h *History) BeginTerm() {
	for _, z := range h.zones {
		z.order = order{}
	}
	h.surge = surge{}
}

// observe adds an observation.
func (h *History) observe(cfg Config, now time.Time, o Observation) {
	span := now.Sub(h.observed)
	first := h.observed.IsZero()
	h.observed = now
	complete := h.observeServers(cfg, now, o)
	if !complete {
		h.calmFrom = now
	}
	if o.DemandKnown {
		if !first && span > 0 && span <= maxGap {
			s := newSample(now, span, o, h.waiting)
			s.undamaged = s.undamaged && complete
			h.addSample(s)
		}
		h.waiting = o.Waiting
	}
}

// observeServers adds the backend servers of an observation. It reports whether the list is current and none is missing.
func (h *History) observeServers(cfg Config, now time.Time, o Observation) bool {
	if !o.ListKnown || h.affected(o) {
		return false
	}
	complete := true
	listed := map[string]int{}
	for _, s := range o.Servers {
		complete = complete && !s.Crashed
		if !s.Draining {
			listed[s.DataCentre]++
		}
		if h.zones[s.DataCentre] == nil {
			h.zones[s.DataCentre] = &zone{}
		}
	}
	for name, z := range h.zones {
		z.observe(now, listed[name], listedMemory*cfg.leadTime())
		complete = complete && z.listed >= min(z.highest(), z.inForce())
	}
	if h.listedFrom.IsZero() && len(o.Servers) > 0 {
		h.listedFrom = now
	}
	return complete
}

// affected reports whether a data centre is out of service in which the service has or had backend servers.
func (h *History) affected(o Observation) bool {
	return slices.ContainsFunc(o.OutOfService, func(name string) bool {
		return h.zones[name] != nil || slices.ContainsFunc(o.Servers, func(s Server) bool { return s.DataCentre == name })
	})
}

// addSample adds a sample and drops the oldest one beyond historyLength.
func (h *History) addSample(s sample) {
	if h.trafficFrom.IsZero() {
		if s.arrived == 0 {
			return // The time before the first request says nothing about the load.
		}
		h.trafficFrom = s.at.Add(-time.Duration(s.seconds * float64(time.Second)))
	}
	if len(h.samples) == historyLength {
		h.samples = h.samples[:copy(h.samples, h.samples[1:])]
	}
	h.samples = append(h.samples, s)
}

// inForce returns the number of backend servers in force, by data centre. Data centres without any are left out: the service
// does not run there.
func (h *History) inForce() map[string]int {
	counts := map[string]int{}
	for name, z := range h.zones {
		if n := z.inForce(); n > 0 || z.order.sent {
			counts[name] = n
		}
	}
	return counts
}

// listed returns the number of listed backend servers that are not draining.
func (h *History) listed() int {
	n := 0
	for _, z := range h.zones {
		n += z.listed
	}
	return n
}

// since returns the samples later than a time.
func (h *History) since(t time.Time) []sample {
	for i, s := range h.samples {
		if s.at.After(t) {
			return h.samples[i:]
		}
	}
	return nil
}

// last returns up to n of the latest samples.
func (h *History) last(n int) []sample { return h.samples[max(0, len(h.samples)-n):] }

// endSurge ends a surge and remembers its duration if it was too short for an order.
func (h *History) endSurge(now time.Time, cfg Config) {
	if d := now.Sub(h.surge.since); d < cfg.leadTime() {
		if len(h.shortSurges) == maxSurgeCount {
			h.shortSurges = h.shortSurges[1:]
		}
		h.shortSurges = append(h.shortSurges, d)
	}
	h.surge = surge{}
}
