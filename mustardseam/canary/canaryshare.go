package canary

const (
	// canaryShareFactor is the fraction of MaxCanaryShare that an unproven version gets; the rest is a margin.
	canaryShareFactor = 0.8
	// firstShareFactor is the factor on MaxCanaryShare for the first responses, of which a fault needs only few to show.
	firstShareFactor = 2
	// firstSamplesFactor is the fraction of ExtraRequests that the first responses may use; the rest is a margin.
	firstSamplesFactor = 0.8
	// firstShareUntil is the fraction of the time to the deadline after which the first responses are over in any case, as a
	// controller that takes over does not know the number of the earlier ones.
	firstShareUntil = 0.5
	// maxFirstSamples bounds the number of first responses.
	maxFirstSamples = 40
)

// canaryShare returns the share of the requests that a version without a verdict gets. It is higher for the first responses, and late
// in a rollout if the version got so few requests that more are allowed.
func (c *Controller) canaryShare(elapsed float64, state FleetState) float64 {
	requests, control := state.NewVersionRequests+c.prior.Responses, 0
	if all := c.analyzers[""]; all != nil {
		requests += all.Candidates()
		control = all.Controls()
	}
	first := elapsed < firstShareUntil && float64(requests) < min(maxFirstSamples, firstSamplesFactor*c.cfg.ExtraRequests)
	allowed := firstSamplesFactor * (c.cfg.MaxCanaryShare*float64(requests+control) + c.cfg.ExtraRequests)
	if first || elapsed >= lenientAfter && float64(requests) < allowed {
		return firstShareFactor * c.cfg.MaxCanaryShare
	}
	return canaryShareFactor * c.cfg.MaxCanaryShare
}
