package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// rateTimeConstant is the time constant of the decaying rates. It is long enough to average requests whose lengths
	// differ by a factor of 100, and short enough to notice the end of a burst.
	rateTimeConstant = 10 * time.Second
	// warmLimitShare is the share of the warm limits that must be in force for the measured rate to count as that of a
	// warm pool.
	warmLimitShare = 0.8
	// minThroughputShare is the lower bound of the measured throughput, as a share of what the limits allow. While a
	// few long requests occupy all servers nothing is granted, and the low rate must not cause the whole queue to be
	// refused.
	minThroughputShare = 0.2
	// minRateAge is how long a rate must have been measured before requests are refused because of it.
	minRateAge = 2 * time.Second
	// minTierShare is the share of the throughput that a tier is assumed to get even if higher tiers use all of it.
	minTierShare = 0.02
)

// forecast tracks the rates of granted and requested tokens, from which waits are estimated.
type forecast struct {
	// Rate of granted tokens.
	granted rate
	// Rates of requested tokens, by ascending rank.
	askedByTier []tierRate
	// Mean estimated tokens of a request.
	meanTokens float64
}

// tierRate is the rate of tokens that a tier requests.
type tierRate struct {
	rank int
	rate
}

// rate is an exponentially decaying average rate per second.
type rate struct {
	since   time.Time // Time of the first event.
	updated time.Time // Time of the last event, to which sum has been decayed.
	sum     float64   // Decayed sum of the event sizes.
}

// add records an event of the given size.
func (r *rate) add(now time.Time, size float64) {
	if r.since.IsZero() {
		r.since, r.updated = now, now
	}
	r.sum = r.sum*decay(now.Sub(r.updated)) + size
	r.updated = now
}

// perSecond returns the average rate, corrected for the time before the first event.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	weight := 1 - decay(now.Sub(r.since)+100*time.Millisecond)
	return r.sum * decay(now.Sub(r.updated)) / (weight * rateTimeConstant.Seconds())
}

// decay returns the factor by which a sum shrinks in the given time.
func decay(d time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / rateTimeConstant.Seconds())
}

// recordAsk records the estimated tokens of a request that was added to the queue.
func (f *forecast) recordAsk(now time.Time, rank int, tokens float64) {
	i, ok := slices.BinarySearchFunc(f.askedByTier, rank, func(t tierRate, rank int) int { return t.rank - rank })
	if !ok {
		f.askedByTier = slices.Insert(f.askedByTier, i, tierRate{rank: rank})
	}
	f.askedByTier[i].add(now, tokens)
	if f.meanTokens == 0 {
		f.meanTokens = tokens
	}
	f.meanTokens += 0.02 * (tokens - f.meanTokens)
}

// throughputLeft returns the part of the throughput, in tokens per second, that higher tiers leave for the rank.
func (f *forecast) throughputLeft(now time.Time, rank int, throughput float64) float64 {
	rest := throughput
	for i := range f.askedByTier {
		if f.askedByTier[i].rank >= rank {
			break
		}
		rest -= f.askedByTier[i].perSecond(now)
	}
	return max(rest, minTierShare*throughput)
}

// throughput returns the tokens per second that the pool serves when it is full. If the pool is warm and requests have
// waited for long enough, this is the rate of recent grants. Otherwise it is at least what the limits of warm servers
// allow at the current mean duration, so that no request is refused because of a cold start that soon ends.
func (p *Pool) throughput(now time.Time) float64 {
	served := p.forecast.granted.perSecond(now)
	warm := float64(p.totalLimit) >= warmLimitShare*float64(p.totalWarmLimit)
	bound := float64(p.totalWarmLimit) / float64(p.instances) * p.forecast.meanTokens /
		max(1e-3, p.meanDuration.Seconds())
	if warm && !p.queueNonEmptySince.IsZero() && now.Sub(p.queueNonEmptySince) >= rateTimeConstant {
		return max(served, minThroughputShare*bound)
	}
	return max(served, bound)
}

// tierThroughput returns the tokens per second that a tier gets. It returns false while too little is known.
func (p *Pool) tierThroughput(now time.Time, rank int) (float64, bool) {
	since := p.forecast.granted.since
	if since.IsZero() || now.Sub(since) < minRateAge {
		return 0, false
	}
	left := p.forecast.throughputLeft(now, rank, p.throughput(now))
	return left, left > 0
}

// estimateWait estimates how long a new request of the team would wait. It returns false while too little is known.
func (p *Pool) estimateWait(now time.Time, rank int, team string) (time.Duration, bool) {
	throughput, known := p.tierThroughput(now, rank)
	if !known {
		return 0, false
	}
	return boundedDuration(p.queue.TokensAhead(rank, team) / throughput), true
}

// boundedDuration converts seconds to a duration between 0 and 1e6 s.
func boundedDuration(seconds float64) time.Duration {
	return time.Duration(min(max(0, seconds), 1e6) * float64(time.Second))
}

// roundRetryAfter rounds a wait up to whole seconds and limits it to between one second and one minute.
func roundRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, time.Second), time.Minute)
	return (d + time.Second - 1).Truncate(time.Second)
}
