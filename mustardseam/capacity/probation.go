package capacity

import "time"

const (
	firstProbe = 500 * time.Millisecond
	maxProbe   = 8 * time.Second
	// probes is the number of good answers in a row that end a probation.
	probes = 3
	// failuresInRow start a probation at once.
	failuresInRow = 3
	// failureShare of recent requests starts a probation.
	failureShare = 0.5
	// refusedShare of the failures at most may have run for a probation to count as one of refusals.
	refusedShare = 0.1
	// slowFactor times slower than the class starts a probation; the load of a batch alone makes less.
	slowFactor = 2.5
	// minSamples are needed for a verdict on a share or a speed.
	minSamples = 4
	// gain is the weight of the newest sample in a server's averages.
	gain = 0.25
)

// probation watches one backend server for failures and slowness, and spaces probes while it is in probation.
type probation struct {
	active   bool
	slow     bool // It was slow rather than failing.
	refused  bool // Its failures were refusals, of requests that were not run.
	since    time.Time
	next     time.Time // Next probe.
	interval time.Duration
	good     int // Good probes in a row.
	row      int // Failures in a row.
	samples  int
	failures float64 // Average share of failures.
	ran      float64 // Average share of failures of requests that may have run.
	factor   float64 // Average slowness against the class.
}

// observe takes in an answer; slow is its slowness against the class, 0 when unknown. It reports whether the server
// has just left probation.
func (p *probation) observe(now time.Time, s Sample, slow float64, mayBeSlow bool) (left bool) {
	if p.active {
		return p.probed(now, s, slow)
	}
	p.samples++
	p.average(s, slow)
	switch {
	case p.row >= failuresInRow, p.samples >= minSamples && p.failures > failureShare:
		p.enter(now, false)
	case mayBeSlow && p.samples >= minSamples && p.factor > slowFactor:
		p.enter(now, true)
	}
	return false
}

func (p *probation) average(s Sample, slow float64) {
	v, ran := 0.0, 0.0
	p.row++
	switch {
	case !s.Failed:
		p.row = 0
	case s.NotRun:
		v = 1
	default:
		v, ran = 1, 1
	}
	p.failures += gain * (v - p.failures)
	p.ran += gain * (ran - p.ran)
	if slow <= 0 {
		return
	}
	if p.factor == 0 {
		p.factor = 1
	}
	p.factor += gain * (min(slow, 4*slowFactor) - p.factor)
}

func (p *probation) enter(now time.Time, slow bool) {
	*p = probation{
		active: true, slow: slow, refused: !slow && p.ran < refusedShare*p.failures,
		since: now, interval: firstProbe, next: now.Add(firstProbe), factor: p.factor,
	}
}

// reachable makes a probe due, since a server that reports again after a silence may have recovered. The interval also
// starts anew; at most one such probe is made for each silence.
func (p *probation) reachable(now time.Time) {
	if p.active && p.next.After(now) {
		p.next, p.interval = now, firstProbe
	}
}

// probed takes in the answer to a probe; those to requests from before the probation do not count.
func (p *probation) probed(now time.Time, s Sample, slow float64) (left bool) {
	if s.Granted.Before(p.since) {
		return false
	}
	if s.Failed || slow > slowFactor {
		p.good = 0
		p.refused = p.refused && s.Failed && s.NotRun
		p.interval = min(2*p.interval, maxProbe)
		p.next = now.Add(p.interval)
		return false
	}
	if !s.OK {
		return false
	}
	p.good++
	p.next = now
	// One answer shows that a server takes requests again. More are asked for where failures cost the work of a request.
	if p.good < probes && !p.refused {
		return false
	}
	*p = probation{factor: 1}
	return true
}
