// Package tenure decides which instance of a region may grant requests to the servers of a pool. It is a pure state
// machine: the caller passes in the time, performs the returned actions and reports their results. A Tenure is not
// safe for concurrent use; the caller must hold a lock during every call.
//
// The caller runs this loop at least every 100 ms and after each input:
//
//	for _, a := range t.Step(now, view) {
//		switch a.Kind {
//		case tenure.Read:
//			// Get homes/<region>/<pool>; started is taken before the request is sent.
//			// Then call t.ReadDone(now, started, rec, mod, exists) or t.ReadFailed(now).
//		case tenure.Swap:
//			// Write a.Record if the key's mod revision is a.ExpectedMod.
//			// Then call t.SwapDone(now, started, a.Record, mod), t.SwapConflict(now), or t.SwapLost(now) if no answer came.
//		case tenure.Ask:
//			// Send {a.Epoch, self, a.ConsentDuration} to all of a.To concurrently; started is taken before the first is sent.
//			// The receiver answers with the result of its own t.Consent(now, from, epoch, duration).
//			// Then call t.ConsentGiven(now, started, from) or t.ConsentDenied(now, from, epoch) for each answer received.
//		}
//	}
//
// Each Read and each Swap must be answered by exactly one call, at the latest when the caller's own timeout expires.
// Every time.Time must be an unmodified result of time.Now, so that it carries both the monotonic and the wall clock
// reading.
//
// Before each grant the caller checks MayGrant(now), and divides its limit on each server by ShareDivisor(now).
// When MayGrant becomes false, the queued asks are answered with "not home". A new home discards load reports made
// before BaselineAfter.
//
// The claim.Authority for keyed requests is claim.ByStore in mode Home, claim.ByConsent in mode Consent while
// ConfirmedWithoutLapse holds, and claim.ByStaticShare otherwise.
//
// For a planned stop, the caller first calls Stop, which ends all grants and prevents later takeovers. It then
// announces the instance as leaving, keeps running the loop, and calls Release while NamedHome is true and the grace
// period lasts. Release returns the record to write once no permit can be started any more; the result is reported
// like that of a Swap.
package tenure
