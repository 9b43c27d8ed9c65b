package rollout

import (
	"fmt"
	"time"
)

// AnalyzerConfig holds the versions that an Analyzer compares and its error bounds; a zero bound selects the default.
type AnalyzerConfig struct {
	Route string  // Name for reasons; it does not filter samples.
	Old   string  // Version that serves as the control.
	New   string  // Version under test, the candidate.
	Alpha float64 // Bound on the probability that a good version ever gets a bad verdict; default 0.001.
	Beta  float64 // Bound on the probability that a bad version passes a step; default 0.01.
	// Baseline holds the usual latencies of the control; nil if they are not known.
	Baseline *Baseline
	// Failures holds how often responses of the control usually fail; nil if it is not known. With it, only responses that arrive
	// while the control is well speak for the candidate.
	Failures *FailureBaseline
}

const (
	defaultAlpha = 0.001
	defaultBeta  = 0.01
)

const (
	// doubtThreshold is the e-value of the evidence against the candidate, a weighted likelihood ratio, from which a good
	// verdict is withheld, so that a fault in only some responses, such as those under load, is not hidden by the mean of
	// all. The e-value starts at 1; for a good version it is above 10 at any one time with a probability of at most 0.1
	// (Markov's inequality).
	doubtThreshold = 10
	// maxWait bounds how long a response of the candidate waits for responses of the control. It is half of the 2 s within
	// which a bad version must stop receiving requests.
	maxWait = time.Second
	// stepSettleTime is the time after a change of the step in which latencies are not counted against the candidate: the
	// step moves load between the versions' servers, so requests run under a different load than that at dispatch.
	stepSettleTime = 5 * time.Second
	// maxPending bounds the number of pending responses; the oldest is assessed early when it is exceeded.
	maxPending = 1024
)

// Bounds on the rates and latencies of a good version. The null rate of an aspect is the probability of a bad response of a
// good version.
const (
	failureMargin                = 0.02 // Added to the control's failure rate.
	minSlowNullRate              = 0.15 // Lowest null rate of slow responses: the tenth beyond the percentile, plus half of that.
	unclearNullRate              = 0.5  // Null rate of responses that are slower than usual beside a control that is too.
	maxNullRate                  = 0.95 // Upper limit of every null rate, so that the test retains some power.
	maxFailureRateWithoutControl = 0.5  // Failure rate allowed without a control to compare with: most responses must succeed.
	slowdownWithoutControl       = 2    // Factor on the control's last 90th percentile, without a control to compare with.
	loadAllowance                = 0.5  // Allowed slowdown for each bucket by which the window is below the response's.
	minNeighbours                = neighbourCount / 2
)

// Analyzer tests a new version of a route against the old one; it is not safe for concurrent use.
//
// A response of the candidate is bad when it failed, when it was slower than the 90th percentile of the control's latest
// responses under the same load, or when it was slower than their median by shiftFactor. It is assessed once further responses
// of the control have arrived, or after maxWait: a
// good version's responses are bad at most as often as the control's window and the control's responses just before and
// after it indicate, plus a margin. A disturbance of both versions shows in these responses and therefore does not count
// against the candidate. Without a control, which gets no requests at the last step, only failures of most responses count
// against it.
type Analyzer struct {
	cfg                  AnalyzerConfig
	controlWindowsByLoad [LoadBuckets]controlWindow // The control's responses by load bucket.
	overallControlWindow controlWindow              // The control's responses under any load.
	pending              []pendingSample            // Responses of the candidate that wait to be assessed, oldest first.
	evidence             evidence                   // Evidence against the candidate over the whole rollout.
	acceptance           acceptance                 // Evidence for the candidate in the current step.
	verdict              Verdict
	slow                 int           // Number of the candidate's responses that were slower than usual.
	excess               float64       // Number of its failures beyond the usual rate while the control was well, as of a cumulative sum.
	usualSeen            float64       // Highest usual rate of failures since the evidence on failures was taken back.
	recent               controlWindow // The candidate's latest responses.
	lastCandidate        time.Time     // Time of the latest response of the candidate.
	stepChanged          time.Time     // Time of the latest change of the step.
}

// NewAnalyzer returns an analyzer without evidence, at step 0.
func NewAnalyzer(cfg AnalyzerConfig) *Analyzer {
	if cfg.Alpha == 0 {
		cfg.Alpha = defaultAlpha
	}
	if cfg.Beta == 0 {
		cfg.Beta = defaultBeta
	}
	return &Analyzer{cfg: cfg, verdict: Verdict{Decision: Undecided}}
}

// SetStep starts to collect evidence for another step; the evidence against the candidate is kept.
func (an *Analyzer) SetStep(now time.Time, step int) {
	an.assessReady(now)
	if step != an.acceptance.step {
		an.acceptance = acceptance{step: step}
		an.stepChanged = now
	}
	an.updateVerdict()
}

// Observe records an outcome and returns the verdict after it; outcomes of other versions are ignored.
func (an *Analyzer) Observe(now time.Time, s Sample) Verdict {
	s.LoadBucket = min(max(s.LoadBucket, 0), LoadBuckets-1)
	switch s.Version {
	case an.cfg.Old:
		an.addControl(now, s)
	case an.cfg.New:
		an.addCandidate(now, s)
	}
	return an.Verdict(now)
}

// Verdict assesses the pending responses that are ready and returns the current result. Without pending responses it
// is cheap.
func (an *Analyzer) Verdict(now time.Time) Verdict {
	if an.assessReady(now) {
		an.updateVerdict()
	}
	return an.verdict
}

// addControl records a response of the control.
func (an *Analyzer) addControl(now time.Time, s Sample) {
	c := &an.controlWindowsByLoad[s.LoadBucket]
	bad := aspectSet{failure: !s.OK}
	for a := firstToken; a <= interToken && s.OK; a++ {
		slow, ok := c.slow(timeOf(a)(s), timeOf(a))
		bad[a] = slow && ok
	}
	c.add(now, s, bad)
	an.overallControlWindow.add(now, s, bad)
	an.acceptance.controlCounts[s.LoadBucket]++
}

// addCandidate records a response of the candidate as pending.
func (an *Analyzer) addCandidate(now time.Time, s Sample) {
	an.lastCandidate = now
	an.recent.add(now, s, aspectSet{failure: !s.OK})
	w := pendingSample{Sample: s, at: now, controlTotal: an.overallControlWindow.total}
	for i := range an.controlWindowsByLoad {
		w.bucketTotals[i] = an.controlWindowsByLoad[i].total
	}
	an.pending = append(an.pending, w)
}

// assessReady assesses the pending responses that are ready and reports whether there were any.
func (an *Analyzer) assessReady(now time.Time) bool {
	remaining := an.pending[:0]
	for i, w := range an.pending {
		if !an.ready(now, w) && len(an.pending)-i <= maxPending {
			remaining = append(remaining, w)
			continue
		}
		an.assess(w)
	}
	settled := len(remaining) < len(an.pending)
	an.pending = remaining
	return settled
}

// ready reports whether enough of the control's responses followed a response, under the same load and in total, or
// maxWait has passed. When the control's servers have another load, half of historySize in total suffices. Without recent
// responses of the control, as at the last step, there is nothing to wait for.
func (an *Analyzer) ready(now time.Time, w pendingSample) bool {
	followed := an.overallControlWindow.total - w.controlTotal
	if now.Sub(w.at) >= maxWait || now.Sub(an.overallControlWindow.last) >= maxWait || followed >= historySize/2 {
		return true
	}
	return followed >= neighbourCount && an.controlWindowsByLoad[w.LoadBucket].total-w.bucketTotals[w.LoadBucket] >= minNeighbours
}

// assess counts a response of the candidate as evidence for and against it.
func (an *Analyzer) assess(w pendingSample) {
	an.acceptance.samples++
	an.acceptance.candidateCounts[w.LoadBucket]++
	before, after := an.overallControlWindow.countsFrom(w.controlTotal-neighbourCount),
		an.overallControlWindow.countsFrom(w.controlTotal)
	an.assessFailure(w, before, after)
	if after.n < minNeighbours {
		an.assessLatenciesLeniently(w)
		return
	}
	if r, ok := an.reference(w); ok && w.at.Sub(an.stepChanged) >= stepSettleTime {
		an.assessLatencies(w, r, before, after)
		return
	}
	an.assessLatenciesLeniently(w)
}

// assessLatencies counts the latencies of a response. The neighbours in the window that it is compared with are the best
// indication of a disturbance; when there are few, those under other loads are used too.
func (an *Analyzer) assessLatencies(w pendingSample, r referenceWindow, before, after badCounts) {
	near := r.countsFrom(r.totalAtArrival - neighbourCount)
	for a := firstToken; a <= interToken && w.OK; a++ {
		nullRate := max(minSlowNullRate, near.rate(a), r.after.rate(a))
		if r.after.n < minNeighbours {
			nullRate = max(nullRate, before.rate(a), after.rate(a))
		}
		d := timeOf(a)(w.Sample)
		if slow, ok := r.slow(time.Duration(float64(d)/r.allowance), timeOf(a)); ok && d > 0 {
			an.addEvidence(a, w, slow, nullRate)
		}
	}
	slow := false
	for a := firstTokenShift; a <= interTokenShift && w.OK; a++ {
		slow = an.assessShift(a, w, r) || slow
	}
	if slow {
		an.slow++
	}
}

// assessLatenciesLeniently counts the latencies of a response for which there is no window to compare with or which arrived
// within stepSettleTime of a step. Slow ones do not count against the candidate, because a disturbance of both versions
// would look the same; twice the control's latency is allowed.
func (an *Analyzer) assessLatenciesLeniently(w pendingSample) {
	for a := firstToken; a < aspectCount && w.OK; a++ {
		if d := timeOf(a)(w.Sample); d > 0 {
			slow, ok := an.overallControlWindow.slow(d/slowdownWithoutControl, timeOf(a))
			an.acceptance.add(a, slow && ok, minSlowNullRate)
		}
	}
}

// addEvidence adds one aspect of a response to the evidence against and for the candidate.
func (an *Analyzer) addEvidence(a aspect, w pendingSample, bad bool, nullRate float64) {
	nullRate = min(nullRate, maxNullRate)
	an.evidence.add(a, w.LoadBucket, bad, nullRate)
	an.acceptance.add(a, bad, nullRate)
}

// updateVerdict derives the verdict from the evidence; a bad verdict is final.
func (an *Analyzer) updateVerdict() {
	if an.verdict.Decision == Bad {
		return
	}
	an.verdict = Verdict{Decision: Undecided, Step: an.acceptance.step, Samples: an.acceptance.samples}
	switch {
	case an.evidence.total() >= 1/an.cfg.Alpha:
		an.verdict.Decision, an.verdict.Reason = Bad, an.reason()
	case an.passes(an.cfg.Beta):
		an.verdict.Decision = Good
	}
}

// Passes reports whether the candidate is good when a bad one may be taken for good with probability beta.
func (an *Analyzer) Passes(now time.Time, beta float64) bool {
	return an.Verdict(now).Decision != Bad && an.passes(beta)
}

// passes reports whether the evidence for the candidate suffices and there is no doubt.
func (an *Analyzer) passes(beta float64) bool {
	return (an.evidence.total() < doubtThreshold || !an.controlActive()) && an.acceptance.passed(beta, an.requiredAspects())
}

// controlActive reports whether the control still gets requests. At the last step it does not, and an earlier doubt can
// no longer be confirmed or refuted by comparison.
func (an *Analyzer) controlActive() bool {
	return an.lastCandidate.Sub(an.overallControlWindow.last) < maxWait
}

// requiredAspects returns the aspects that a good version must pass: failures, and the latencies known of the control.
func (an *Analyzer) requiredAspects() aspectSet {
	required := aspectSet{failure: true}
	for a := firstToken; a < aspectCount; a++ {
		_, required[a] = an.overallControlWindow.slow(0, timeOf(a))
	}
	return required
}

// reason describes the strongest evidence against the candidate.
func (an *Analyzer) reason() string {
	a, scope := an.evidence.strongest()
	c := an.evidence.cells[a][scope]
	what := [aspectCount]string{
		"failed", "had a slow first token", "had slow tokens", "had a first token far above the median", "had tokens far above the median",
	}[a]
	where := ""
	if scope > 0 {
		where = fmt.Sprintf(" in load bucket %d", scope-1)
	}
	return fmt.Sprintf("%d of %d answers of %s on route %s %s%s; at most %.0f %% expected from %s",
		c.bad, c.samples, an.cfg.New, an.cfg.Route, what, where, 100*c.nullRate, an.cfg.Old)
}

// timeOf returns a function that returns the latency of a sample for a latency aspect.
func timeOf(a aspect) func(Sample) time.Duration {
	if a == firstToken || a == firstTokenShift {
		return func(s Sample) time.Duration { return s.FirstToken }
	}
	return func(s Sample) time.Duration { return s.InterToken }
}
