package rollout

import (
	"fmt"
	"time"
)

// JudgeConfig names what a judge compares; zero bounds mean the defaults.
type JudgeConfig struct {
	Route string
	Old   string  // Version that is the control.
	New   string  // Version that is the candidate.
	Alpha float64 // Bound on the probability that a good version is ever called bad; 0.001.
	Beta  float64 // Bound on the probability that a bad version passes a step; 0.01.
}

const (
	defaultAlpha = 0.001
	defaultBeta  = 0.01
)

const (
	// doubt is the weight of evidence against the version from which a good verdict is held back, so that a fault that
	// shows in part of the answers only, such as those under load, does not pass with the mean of all. The weight starts at
	// 1; for a good version it is above 10 at any one time with a probability of at most 0.1 (Markov's inequality).
	doubt = 10
	// longestWait bounds the wait of a candidate's answer for its neighbours. It is half of the 2 s after which a bad
	// version must get no request.
	longestWait = time.Second
	// stepSettle is the time after a step in which latencies are no evidence against the version: the step moves load from
	// one version's servers to the other's, so answers run under another load than they were dispatched under.
	stepSettle = 5 * time.Second
	// maxWaiting bounds the answers that wait; the oldest is judged early.
	maxWaiting = 1024
)

// Bounds on the rates of a good version.
const (
	failureMargin    = 0.02 // Of failures, above the control's.
	slowShare        = 0.15 // Of slow answers: the tenth beyond the percentile and half as much again as margin.
	maxNull          = 0.95 // Of anything, so that the test keeps some power.
	failuresAlone    = 0.5  // Of failures, without a control to compare with: most answers must succeed.
	slowdownAlone    = 2    // Times the control's last percentile, without a control to compare with.
	loadAllowance    = 0.5  // Of the times, for each load bucket that the control's window is below the answer's.
	enoughNeighbours = neighbours / 2
)

// Judge tests a new version of a route against the old one; it is not safe for concurrent use.
//
// An answer of the candidate counts as bad when it failed, or when it was slower than the 90th percentile of the
// control's latest answers under the same load. It is judged once further answers of the control have arrived, or after a
// second: a good version's answers are bad at most as often as the control's window and the control's answers just before
// and after say, plus a margin. A disturbance of both versions shows in these answers and therefore does not speak
// against the candidate. Without a control, which gets no requests at the last step, only failures of most answers speak
// against it.
type Judge struct {
	cfg      JudgeConfig
	controls [Loads]control
	all      control
	waiting  []waiting
	evidence evidence
	accepted acceptance
	verdict  Verdict
	latest   time.Time // Of the newest answer of the candidate.
	stepped  time.Time // Of the last change of the step.
}

// NewJudge returns a judge without evidence, at step 0.
func NewJudge(cfg JudgeConfig) *Judge {
	if cfg.Alpha == 0 {
		cfg.Alpha = defaultAlpha
	}
	if cfg.Beta == 0 {
		cfg.Beta = defaultBeta
	}
	return &Judge{cfg: cfg, verdict: Verdict{Decision: Undecided}}
}

// SetStep starts the collection of evidence for another step; the evidence against the version is kept.
func (j *Judge) SetStep(now time.Time, step int) {
	j.settle(now)
	if step != j.accepted.step {
		j.accepted = acceptance{step: step}
		j.stepped = now
	}
	j.conclude()
}

// Observe takes in an outcome and returns the verdict after it; outcomes of other versions are ignored.
func (j *Judge) Observe(now time.Time, s Sample) Verdict {
	s.Load = min(max(s.Load, 0), Loads-1)
	switch s.Version {
	case j.cfg.Old:
		j.control(now, s)
	case j.cfg.New:
		j.candidate(now, s)
	}
	return j.Verdict(now)
}

// Verdict judges the answers whose wait is over and returns the state of the test. It costs a comparison when there are
// none.
func (j *Judge) Verdict(now time.Time) Verdict {
	if j.settle(now) {
		j.conclude()
	}
	return j.verdict
}

// control takes in an answer of the old version.
func (j *Judge) control(now time.Time, s Sample) {
	c := &j.controls[s.Load]
	bad := flags{failure: !s.OK}
	for a := first; a < aspects && s.OK; a++ {
		slow, ok := c.slow(timeOf(a)(s), timeOf(a))
		bad[a] = slow && ok
	}
	c.add(now, s, bad)
	j.all.add(now, s, bad)
	j.accepted.base[s.Load]++
}

// candidate takes in an answer of the new version.
func (j *Judge) candidate(now time.Time, s Sample) {
	j.latest = now
	w := waiting{Sample: s, at: now, mark: j.all.total}
	for i := range j.controls {
		w.marks[i] = j.controls[i].total
	}
	j.waiting = append(j.waiting, w)
}

// settle judges the answers whose wait is over and reports whether there were any.
func (j *Judge) settle(now time.Time) bool {
	rest := j.waiting[:0]
	for i, w := range j.waiting {
		if !j.ready(now, w) && len(j.waiting)-i <= maxWaiting {
			rest = append(rest, w)
			continue
		}
		j.judge(w)
	}
	settled := len(rest) < len(j.waiting)
	j.waiting = rest
	return settled
}

// ready reports whether enough of the control's answers followed, under the same load and in all, or the wait was long
// enough. When the control's servers have another load, half of the kept answers suffice. Without any answers of the
// control, as at the last step, there is nothing to wait for.
func (j *Judge) ready(now time.Time, w waiting) bool {
	followed := j.all.total - w.mark
	if now.Sub(w.at) >= longestWait || now.Sub(j.all.last) >= longestWait || followed >= kept/2 {
		return true
	}
	return followed >= neighbours && j.controls[w.Load].total-w.marks[w.Load] >= enoughNeighbours
}

// judge counts one answer of the candidate for and against it.
func (j *Judge) judge(w waiting) {
	j.accepted.seen++
	j.accepted.loads[w.Load]++
	before, after := j.all.since(w.mark-neighbours), j.all.since(w.mark)
	if after.n < enoughNeighbours {
		j.count(failure, w, !w.OK, failuresAlone)
		j.alone(w)
		return
	}
	rate := max(j.all.failureRate(), j.controls[w.Load].failureRate()) + failureMargin
	j.count(failure, w, !w.OK, max(rate, before.rate(failure), after.rate(failure)))
	if r, ok := j.reference(w); ok && w.at.Sub(j.stepped) >= stepSettle {
		j.latencies(w, r, before, after)
		return
	}
	j.alone(w)
}

// latencies counts the times of an answer. The neighbours in the window that it is compared with tell most of a
// disturbance; where these are few, those under other loads count too.
func (j *Judge) latencies(w waiting, r reference, before, after counts) {
	near := r.since(r.mark - neighbours)
	for a := first; a < aspects && w.OK; a++ {
		null := max(slowShare, near.rate(a), r.after.rate(a))
		if r.after.n < enoughNeighbours {
			null = max(null, before.rate(a), after.rate(a))
		}
		d := timeOf(a)(w.Sample)
		if slow, ok := r.slow(time.Duration(float64(d)/r.allowance), timeOf(a)); ok && d > 0 {
			j.count(a, w, slow, null)
		}
	}
}

// alone counts the times of an answer that no window compares with. Slow ones do not speak against the version, because a
// disturbance of both versions would look the same; twice the control's time is allowed.
func (j *Judge) alone(w waiting) {
	for a := first; a < aspects && w.OK; a++ {
		if d := timeOf(a)(w.Sample); d > 0 {
			slow, ok := j.all.slow(d/slowdownAlone, timeOf(a))
			j.accepted.add(a, slow && ok, slowShare)
		}
	}
}

// count adds one aspect of an answer to the evidence against and for the version.
func (j *Judge) count(a aspect, w waiting, bad bool, null float64) {
	null = min(null, maxNull)
	j.evidence.add(a, w.Load, bad, null)
	j.accepted.add(a, bad, null)
}

// conclude derives the verdict from the evidence; a bad one is final.
func (j *Judge) conclude() {
	if j.verdict.Decision == Bad {
		return
	}
	j.verdict = Verdict{Decision: Undecided, Step: j.accepted.step, Seen: j.accepted.seen}
	switch against := j.evidence.total(); {
	case against >= 1/j.cfg.Alpha:
		j.verdict.Decision, j.verdict.Reason = Bad, j.reason()
	case (against < doubt || !j.compared()) && j.accepted.passed(j.cfg.Beta, j.need()):
		j.verdict.Decision = Good
	}
}

// compared reports whether the control still gets requests. At the last step it does not, and what was doubtful before
// can be neither confirmed nor refuted by comparison any more.
func (j *Judge) compared() bool { return j.latest.Sub(j.all.last) < longestWait }

// need returns the aspects that a good version must pass: failures, and the latencies that the control has.
func (j *Judge) need() flags {
	need := flags{failure: true}
	for a := first; a < aspects; a++ {
		_, need[a] = j.all.slow(0, timeOf(a))
	}
	return need
}

// reason names the strongest evidence.
func (j *Judge) reason() string {
	a, scope := j.evidence.strongest()
	c := j.evidence.cells[a][scope]
	what := [aspects]string{"failed", "had a slow first token", "had slow tokens"}[a]
	where := ""
	if scope > 0 {
		where = fmt.Sprintf(" in load bucket %d", scope-1)
	}
	return fmt.Sprintf("%d of %d answers of %s on route %s %s%s; at most %.0f %% expected from %s",
		c.hits, c.seen, j.cfg.New, j.cfg.Route, what, where, 100*c.null, j.cfg.Old)
}

// timeOf returns the time that a latency aspect is about.
func timeOf(a aspect) func(Sample) time.Duration {
	if a == first {
		return func(s Sample) time.Duration { return s.First }
	}
	return func(s Sample) time.Duration { return s.Between }
}
