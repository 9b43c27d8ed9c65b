package rollout

import "time"

const (
	// minRecent is the number of the candidate's latest responses from which they are compared with what is usual.
	minRecent = 8
	// maxRecent is the number of them that are compared.
	maxRecent = 32
	// usualMargin is added to the usual rate of failures in the tests of what speaks against the candidate; less is added in those of
	// what speaks for it. The tests take the rate for exact, which it is not.
	usualMargin = 0.08
	// excessMargin is added to it where failures beyond it are counted.
	excessMargin = 0.05
	// maxUsualDrop is how far the usual rate of failures may fall until what speaks for the candidate is taken back.
	maxUsualDrop = 0.1
	// slowAloneFactor is the factor on the usual latency from which the candidate is doubtful when it gets all requests: more than
	// its share of the load explains.
	slowAloneFactor = 3
)

// assessFailure counts whether a response failed. The bound on the rate of a good version is what is usual for the control, or what
// the control's responses show where more of them fail than usual. Such a response does not speak for the candidate: beside a
// control that fails as often, a bad version looks like a good one.
func (an *Analyzer) assessFailure(w pendingSample, before, after badCounts) {
	alone := after.n < minNeighbours
	window := &an.overallControlWindow
	nullRate := maxFailureRateWithoutControl
	if !alone {
		rate := max(window.failureRate(), an.controlWindowsByLoad[w.LoadBucket].failureRate()) + failureMargin
		nullRate = max(rate, before.rate(failure), after.rate(failure))
	}
	usual, known := an.cfg.Failures.Rate()
	if !known {
		an.addEvidence(failure, w, !w.OK, nullRate)
		return
	}
	least, allowed := min(usual+usualMargin, maxNullRate), usual+excessMargin
	usual = min(usual+failureMargin, maxNullRate)
	if an.usualSeen = max(an.usualSeen, usual); an.usualSeen-usual > maxUsualDrop {
		an.acceptance.withholdFailures()
		an.usualSeen = usual
	}
	an.acceptance.addUsual(!w.OK, usual)
	if alone {
		an.evidence.add(failure, w.LoadBucket, !w.OK, max(nullRate, least))
		an.acceptance.add(failure, !w.OK, usual)
		return
	}
	if window.failuresExceed(usual) || before.failuresExceed(usual) || after.failuresExceed(usual) {
		an.evidence.add(failure, w.LoadBucket, !w.OK, min(max(nullRate, least), maxNullRate))
		if !w.OK {
			an.acceptance.withhold(failure)
		}
		return
	}
	an.excess = max(0, an.excess-allowed)
	if !w.OK {
		an.excess++
	}
	an.evidence.add(failure, w.LoadBucket, !w.OK, least)
	an.acceptance.add(failure, !w.OK, usual)
}

// failuresExceed reports whether more responses of the window failed than a rate explains.
func (c *controlWindow) failuresExceed(rate float64) bool {
	failures := 0
	for _, s := range c.samples[:c.size()] {
		if !s.OK {
			failures++
		}
	}
	return ExceedsRate(float64(failures), float64(c.size()), rate)
}

// failuresExceed reports whether more of the responses failed than a rate explains.
func (c badCounts) failuresExceed(rate float64) bool {
	return ExceedsRate(float64(c.bad[failure]), float64(c.n), rate)
}

// ControlDisturbed reports whether the control's latest responses fail more often or are slower than usual, so that nothing can be
// said of the candidate.
func (an *Analyzer) ControlDisturbed() bool {
	window := &an.overallControlWindow
	if usual, known := an.cfg.Failures.Rate(); known {
		usual = min(usual+failureMargin, maxNullRate)
		if window.failuresExceed(usual) || window.countsFrom(window.total-neighbourCount).failuresExceed(usual) {
			return true
		}
	}
	for a := firstTokenShift; a <= interTokenShift; a++ {
		if usual := an.cfg.Baseline.usual(a); usual > 0 && window.medianLatency(window.size(), timeOf(a)) >= time.Duration(shiftFactor*float64(usual)) {
			return true
		}
	}
	return false
}

// CandidateDoubtful reports whether the candidate's responses since a time fail more often or are much slower than is usual for the
// control. It does not need responses of the control.
func (an *Analyzer) CandidateDoubtful(since time.Time) bool {
	n := an.recent.countSince(since)
	if n = min(n, maxRecent); n < minRecent {
		return false
	}
	if usual, known := an.cfg.Failures.Rate(); known {
		failures := 0
		for i := an.recent.total - n; i < an.recent.total; i++ {
			if !an.recent.samples[i%windowSize].OK {
				failures++
			}
		}
		if ExceedsRate(float64(failures), float64(n), min(usual+failureMargin, maxNullRate)) {
			return true
		}
	}
	for a := firstTokenShift; a <= interTokenShift; a++ {
		if usual := an.cfg.Baseline.usual(a); usual > 0 && an.recent.medianLatency(n, timeOf(a)) >= slowAloneFactor*usual {
			return true
		}
	}
	return false
}

// Withhold takes back what speaks for the candidate, so that it needs new evidence.
func (an *Analyzer) Withhold() {
	an.acceptance.withholdAll()
	an.updateVerdict()
}
