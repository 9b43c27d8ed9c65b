package placement

// Cause is the kind of reason for a refusal, for metrics.
type Cause string

// Causes of refusals.
const (
	CausePredictedWait Cause = "predicted-wait" // The job could not begin before its caller leaves.
	CauseWaitOver      Cause = "wait-over"      // The job waited until its limit.
	CauseNoTime        Cause = "no-time"        // The job had no time left when it arrived.
	CauseBackoff       Cause = "backoff"        // All backend servers asked to be sent no requests.
	CauseQuota         Cause = "quota"          // The quota of the team is used up.
	// CauseQuotaExpected means that the quota of the team has units left, which the other instances are expected to use.
	CauseQuotaExpected Cause = "quota-expected"
	CauseOther         Cause = "other" // A planned stop, a quarantined prompt or a missing configuration.
)
