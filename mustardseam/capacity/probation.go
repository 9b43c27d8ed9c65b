package capacity

import "time"

const (
	// minProbeInterval is the time from the start of a probation to the first probe.
	minProbeInterval = 500 * time.Millisecond
	// maxProbeInterval is the longest time between probes; the interval doubles with each failed probe.
	maxProbeInterval = 8 * time.Second
	// goodProbesToLeave is the number of consecutive good probes that ends a probation.
	goodProbesToLeave = 3
	// failuresToEnter is the number of consecutive failures that starts a probation at once.
	failuresToEnter = 3
	// maxFailureRate is the average failure rate above which a probation starts.
	maxFailureRate = 0.5
	// maxExecutedShare is the share of failures of requests that may have run, below which a probation counts as caused
	// by refusals.
	maxExecutedShare = 0.1
	// maxSlowness is the slowdown relative to the class above which a probation starts. The load of a batch alone
	// causes less.
	maxSlowness = 2.5
	// minSamples is the number of samples required before a failure rate or a slowdown starts a probation.
	minSamples = 4
	// averagingWeight is the weight of the newest sample in the averages.
	averagingWeight = 0.25
)

// probationState detects failures and slowness of one backend server, and schedules probes while it is in probation.
type probationState struct {
	active              bool          // Whether the server is in probation.
	slow                bool          // Whether the probation started because of slowness rather than failures.
	dueToRefusals       bool          // Whether the probation started because of refusals of requests that did not run.
	since               time.Time     // Start of the probation.
	nextProbe           time.Time     // Time of the next probe.
	interval            time.Duration // Current time between probes.
	goodProbes          int           // Consecutive good probes.
	consecutiveFailures int           // Consecutive failures.
	samples             int           // Samples since the last probation.
	failureRate         float64       // Average share of failed requests.
	executedFailureRate float64       // Average share of failed requests that may have run.
	slowness            float64       // Average slowdown relative to the class; 0 while unknown.
}

// observe processes an answer with its slowdown relative to the class, which is 0 if unknown. It reports whether the
// server has left probation.
func (p *probationState) observe(now time.Time, s Sample, slowness float64, mayBeSlow bool) (exited bool) {
	if p.active {
		return p.observeProbe(now, s, slowness)
	}
	p.samples++
	p.updateAverages(s, slowness)
	switch {
	case p.consecutiveFailures >= failuresToEnter, p.samples >= minSamples && p.failureRate > maxFailureRate:
		p.enter(now, false)
	case mayBeSlow && p.samples >= minSamples && p.slowness > maxSlowness:
		p.enter(now, true)
	}
	return false
}

// updateAverages updates the failure rates and the slowdown.
func (p *probationState) updateAverages(s Sample, slowness float64) {
	failed, executed := 0.0, 0.0
	p.consecutiveFailures++
	switch {
	case !s.Failed:
		p.consecutiveFailures = 0
	case s.NotRun:
		failed = 1
	default:
		failed, executed = 1, 1
	}
	p.failureRate += averagingWeight * (failed - p.failureRate)
	p.executedFailureRate += averagingWeight * (executed - p.executedFailureRate)
	if slowness <= 0 {
		return
	}
	if p.slowness == 0 {
		p.slowness = 1
	}
	p.slowness += averagingWeight * (min(slowness, 4*maxSlowness) - p.slowness)
}

// enter starts a probation.
func (p *probationState) enter(now time.Time, slow bool) {
	*p = probationState{
		active: true, slow: slow, dueToRefusals: !slow && p.executedFailureRate < maxExecutedShare*p.failureRate,
		since: now, interval: minProbeInterval, nextProbe: now.Add(minProbeInterval), slowness: p.slowness,
	}
}

// probeNow makes a probe due and resets the interval, because a server that reports again after a silence may have
// recovered. It causes at most one probe for each silence.
func (p *probationState) probeNow(now time.Time) {
	if p.active && p.nextProbe.After(now) {
		p.nextProbe, p.interval = now, minProbeInterval
	}
}

// observeProbe processes the answer to a probe. It ignores answers to requests granted before the probation.
func (p *probationState) observeProbe(now time.Time, s Sample, slowness float64) (exited bool) {
	if s.Granted.Before(p.since) {
		return false
	}
	if s.Failed || slowness > maxSlowness {
		p.goodProbes = 0
		p.dueToRefusals = p.dueToRefusals && s.Failed && s.NotRun
		p.interval = min(2*p.interval, maxProbeInterval)
		p.nextProbe = now.Add(p.interval)
		return false
	}
	if !s.OK {
		return false
	}
	p.goodProbes++
	p.nextProbe = now
	// One good probe shows that a server accepts requests again. More are required if failures waste the work of a
	// request.
	if p.goodProbes < goodProbesToLeave && !p.dueToRefusals {
		return false
	}
	*p = probationState{slowness: 1}
	return true
}
