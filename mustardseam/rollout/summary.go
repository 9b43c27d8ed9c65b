package rollout

import "time"

// Summary is the state of the test of an Analyzer.
type Summary struct {
	Decision   Decision
	Control    int     // Number of responses of the control.
	Against    float64 // Evidence against the candidate, a likelihood ratio; from 1/Alpha on, the decision is bad.
	Failure    float64 // Log-likelihood ratio of more failures; from log(Beta) down, the candidate is accepted.
	FirstEvent float64 // The same for slow first events.
	InterToken float64 // The same for slow inter-token latencies.
}

// Summary assesses the pending responses that are ready and returns the state of the test.
func (an *Analyzer) Summary(now time.Time) Summary {
	return Summary{
		Decision: an.Verdict(now).Decision, Control: an.overallControlWindow.total, Against: an.evidence.total(),
		Failure: an.acceptance.logRatios[failure], FirstEvent: an.acceptance.logRatios[firstToken],
		InterToken: an.acceptance.logRatios[interToken],
	}
}
