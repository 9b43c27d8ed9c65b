package rollout

import (
	"math"
	"slices"
	"time"
)

// Summary is the state of the test of an Analyzer.
type Summary struct {
	Decision Decision
	Samples  int // Number of responses of the candidate that were assessed.
	Slow     int // Number of them that were slower than usual, whether or not the control's were too.
	Control  int // Number of responses of the control.
	// Excess is the number of failures of the candidate beyond the usual rate while the control was well.
	Excess     float64
	Doubtful   bool    // The responses in some aspect fit a bad candidate better than a good one.
	Doubt      float64 // Log-likelihood ratio of the aspect that fits a bad candidate best; 0 without responses.
	Against    float64 // Evidence against the candidate, a likelihood ratio; from 1/Alpha on, the decision is bad.
	Failure    float64 // Log-likelihood ratio of more failures; from log(Beta) down, the candidate is accepted.
	FirstEvent float64 // The same for slow first events.
	InterToken float64 // The same for slow inter-token latencies.
	// FirstEventShift and InterTokenShift are the same for latencies above the control's median.
	FirstEventShift, InterTokenShift float64
}

// Summary assesses the pending responses that are ready and returns the state of the test.
func (an *Analyzer) Summary(now time.Time) Summary {
	ratios := an.acceptance.logRatios
	doubt := math.Inf(-1)
	for a, ratio := range ratios {
		if an.acceptance.tested[a] {
			doubt = max(doubt, ratio)
		}
	}
	if math.IsInf(doubt, -1) {
		doubt = 0
	}
	return Summary{
		Decision: an.Verdict(now).Decision, Samples: an.acceptance.samples, Slow: an.slow, Control: an.overallControlWindow.total,
		Excess:   an.excess,
		Doubtful: slices.Max(ratios[:]) > 0, Doubt: doubt, Against: an.evidence.total(), Failure: ratios[failure],
		FirstEvent: ratios[firstToken], InterToken: ratios[interToken],
		FirstEventShift: ratios[firstTokenShift], InterTokenShift: ratios[interTokenShift],
	}
}

// Candidates returns the number of responses of the candidate, including those that were not assessed yet.
func (an *Analyzer) Candidates() int { return an.acceptance.samples + len(an.pending) }

// Controls returns the number of responses of the control.
func (an *Analyzer) Controls() int { return an.overallControlWindow.total }
