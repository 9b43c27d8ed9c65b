package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// sustainWindow is the time over which a load counts as lasting. It holds two of the periods seen (10 s) and twice the
	// lead time of the services seen (11 s).
	sustainWindow = 24 * time.Second
	// sustainQuantile is the share of sustainWindow in which the load is at most the one that is provided for. The rest is
	// 6 s: a burst of 5 s does not fill it even when smoothed, and a wave is near its peak for about as much of its period.
	sustainQuantile = 0.75
	// minSustainSamples is the number of samples from which on a load counts as lasting.
	minSustainSamples = 5
	// smoothing is the number of samples over which a load is averaged.
	smoothing = 2
	// surgeSamples is the number of latest samples over which a load above the capacity is looked for.
	surgeSamples = 3
	// surgeNoise is the margin by which a load must exceed the capacity, in standard deviations of the load.
	surgeNoise = 2.0
	// workVariance is the variance of the work of arrivals in a sample relative to independent arrivals of equal work. It
	// is that of work with an exponential distribution.
	workVariance = 2.0
	// minBusy is the least share of what the backend servers can do that they must do lately before their number is raised.
	// Without it, wrong expectations of the work of requests would order backend servers for idle ones.
	minBusy = 0.75
	// deadBand is the relative difference below which the number in force is not raised, so that noise gives no orders.
	deadBand = 0.03
	// fallMargin is the factor on the number needed at the highest load of the hold time, to which the number in force
	// falls. It leaves room for the loss of a fifth of the backend servers at that load without refusals.
	fallMargin = 1.25
	// fallStep is the largest share of the number in force that is removed at a time, and minFall the smallest reduction
	// worth an order.
	fallStep = 0.1
	minFall  = 0.1
	// maxHoldFactor bounds the factor on the hold time. It doubles whenever a rise follows a fall, so that a load that
	// swings over a longer time than the hold time does not move the numbers up and down.
	maxHoldFactor = 8
)

// Decide adds an observation to the history and returns the number of backend servers that each data centre should have.
// The result depends on the arguments only. History.Orders tells what to send for it.
func Decide(cfg Config, now time.Time, o Observation, h *History) Decision {
	h.observe(cfg, now, o)
	c := newCapacity(o.Servers)
	d := Decision{Desired: h.inForce()}
	d.InForce = sum(d.Desired)
	hold := func(r Reason) Decision {
		d.Hold = true
		return d.withReason(r, d.Desired)
	}
	switch {
	case !o.ListKnown:
		h.surge = surge{}
		return hold(HoldList)
	case h.affected(o):
		h.surge = surge{}
		return hold(HoldOutOfService)
	case h.listedFrom.IsZero() || now.Sub(h.listedFrom) < cfg.Boot+listingDelay:
		// Crashed backend servers may be missing from the list, and come back within this time.
		return hold(HoldStart)
	case len(h.samples) == 0:
		return hold(HoldNoTraffic)
	case c.perServer == 0:
		return hold(HoldSpeed)
	case now.Sub(h.samples[len(h.samples)-1].at) > maxGap:
		return hold(HoldDemand)
	}
	l := newLoads(cfg, h.samples)
	d.Load, d.Period = l.latest(), l.period
	d.Full = float64(d.InForce) * c.perServer
	h.updateSurge(cfg, now, c, l, d.Desired)
	d.Needed = c.serversFor(max(h.sustained(now, l), l.forecast))
	next := h.raise(cfg, now, o, c, l, d)
	if next.Reason == Enough {
		next = h.lower(cfg, now, o, c, l, next)
	}
	return next
}

// updateSurge begins or ends a surge. The capacity compared is that before an order for the surge.
func (h *History) updateSurge(cfg Config, now time.Time, c capacity, l loads, inForce map[string]int) {
	full := float64(sum(inForce)) * c.perServer
	if h.surge.before != nil {
		full = float64(sum(h.surge.before)) * c.perServer
	}
	switch {
	case h.surge.active():
		if l.below(full) {
			// An order that is still being carried out is taken back by the following decisions, which need the surge.
			if h.surge.orderedAt.IsZero() || h.surge.probedAt.IsZero() && now.Sub(h.surge.orderedAt) >= cfg.Boot {
				h.endSurge(now, cfg)
			}
		}
	default:
		for n := 1; n <= min(surgeSamples, len(l.work)); n++ {
			if l.mean(n) > full*(1+surgeNoise*l.deviation(n)) {
				h.surge = surge{since: l.start(n)}
				return
			}
		}
	}
}

// raise returns the decision with higher numbers if the load needs them.
func (h *History) raise(cfg Config, now time.Time, o Observation, c capacity, l loads, d Decision) Decision {
	band := int(math.Ceil(deadBand * float64(d.InForce)))
	reason, needed := Sustain, d.Needed
	if l.forecast > h.sustained(now, l) {
		reason = Periodic
	}
	if h.surge.active() {
		if !h.surge.orderedAt.IsZero() && l.below(float64(sum(h.surge.before))*c.perServer) {
			return h.withdraw(cfg, now, o, c, l, d)
		}
		h.surge.probedAt = time.Time{}
		if now.Sub(h.surge.since) >= h.confirmAfter(cfg) {
			if n := c.serversFor(l.meanSince(h.surge.since)); n > needed {
				reason, needed = Surge, n
			}
		}
	}
	if l.busiest(minSustainSamples) < minBusy {
		return d.withReason(Enough, d.Desired)
	}
	if needed < d.InForce+max(1, band) {
		return d.withReason(Enough, d.Desired)
	}
	next := spread(cfg, d.Desired, needed)
	if sum(next) <= d.InForce {
		return d.withReason(Enough, d.Desired)
	}
	d.Needed = needed
	return d.withReason(reason, next)
}

// lower returns the decision with lower numbers if the load has been lower for the whole hold time and nothing else explains
// it.
func (h *History) lower(cfg Config, now time.Time, o Observation, c capacity, l loads, d Decision) Decision {
	hold := max(sustainWindow, cfg.leadTime(), time.Duration(1.2*float64(l.period))*time.Second) * time.Duration(max(1, h.holdFactor))
	for _, from := range []time.Time{h.trafficFrom, h.calmFrom, h.raisedAt} {
		if now.Sub(from) < hold {
			return d
		}
	}
	if now.Sub(h.changedAt) < cfg.Boot || h.surge.active() || o.replacing() {
		return d
	}
	peak := l.peak(h.since(now.Add(-hold)))
	floor := int(math.Ceil(float64(c.running+o.Waiting) / c.slots))
	target := max(int(math.Ceil(fallMargin*float64(c.serversFor(peak)))), floor, cfg.Min*len(d.Desired))
	if float64(d.InForce-target) < max(1, minFall*float64(d.InForce)) {
		return d
	}
	step := min(d.InForce-target, max(1, int(fallStep*float64(d.InForce))))
	if step = c.removable(step, peak); step == 0 {
		return d
	}
	return d.withReason(Fall, spread(cfg, d.Desired, d.InForce-step))
}

// noteChange records that the instance acts on a decision that changes the numbers.
func (h *History) noteChange(now time.Time, d Decision) {
	total := d.Total()
	if total == d.InForce {
		return
	}
	h.changedAt = now
	switch {
	case d.Reason == Fall:
		h.fell = true
	case d.Reason == Withdraw && h.surge.active():
		h.surge.probedAt, h.surge.probed = now, h.listed()
	}
	if total < d.InForce {
		return
	}
	h.raisedAt = now
	if d.Reason == Surge && h.surge.active() && h.surge.orderedAt.IsZero() {
		h.surge.orderedAt, h.surge.before = now, h.inForce()
	}
	if h.fell {
		h.fell, h.holdFactor = false, min(maxHoldFactor, 2*max(1, h.holdFactor))
	}
}

// replacing reports whether backend servers are leaving.
func (o Observation) replacing() bool {
	return slices.ContainsFunc(o.Servers, func(s Server) bool { return s.Draining })
}
