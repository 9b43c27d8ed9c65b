package rollout

import "time"

// JudgeConfig names what a judge compares; zero bounds mean the defaults.
type JudgeConfig struct {
	Route string
	Old   string  // Version that is the control.
	New   string  // Version that is the candidate.
	Alpha float64 // Bound on the probability that a good version is ever called bad; 0.001.
	Beta  float64 // Bound on the probability that a bad version passes a step; 0.01.
}

// Judge tests a new version of a route against the old one; it is not safe for concurrent use.
type Judge struct {
	cfg JudgeConfig
}

// NewJudge returns a judge without evidence, at step 0.
func NewJudge(cfg JudgeConfig) *Judge { return &Judge{cfg: cfg} }

// SetStep starts the collection of evidence for another step; the evidence against the version is kept.
func (j *Judge) SetStep(now time.Time, step int) {}

// Observe takes in an outcome and returns the verdict after it; outcomes of other versions are ignored.
func (j *Judge) Observe(now time.Time, s Sample) Verdict { return j.Verdict(now) }

// Verdict returns the state of the test.
func (j *Judge) Verdict(now time.Time) Verdict { return Verdict{Decision: Undecided} }
