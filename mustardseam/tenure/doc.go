// Package tenure decides which instance of a region may grant requests to the servers of a pool. It is a pure state
// machine: the time is passed in, and the caller carries out the returned actions and feeds the results back. A Tenure is
// not safe for concurrent use; the caller holds a lock over every call.
//
// The driving loop of the caller, run at least every 100 ms and after each input:
//
//	for _, a := range t.Step(now, view) {
//		switch a.Kind {
//		case tenure.Read:
//			// Get homes/<region>/<pool>, with started taken before the request is sent.
//			// Then t.Observed(now, started, rec, mod, exists) or t.StoreFailed(now).
//		case tenure.Swap:
//			// Write a.Record if the key's mod revision is a.Last.
//			// Then t.Swapped(now, started, a.Record, mod), t.SwapConflict(now), or t.SwapLost(now) when no answer came.
//		case tenure.Ask:
//			// Send {a.Epoch, self, a.Hold} to each of a.To at the same time; started is taken before the first is sent.
//			// The receiver answers with its own t.Consent(now, from, epoch, hold).
//			// Then t.Consented(now, started, from) or t.Denied(now, from, epoch) per answer; no answer needs no call.
//		}
//	}
//
// Each Read and each Swap is answered by exactly one call, at the latest after the caller's own timeout. Every time.Time
// comes from time.Now without changes, so that it carries the monotonic and the wall clock.
//
// Before each grant the caller checks MayGrant(now), and limits its requests on each server according to Share(now). When
// MayGrant turns false, the queue is handed back as "not home". A new home discards load reports made before Baseline.
//
// Keyed requests are claimed by standing claim.ByStore in mode Home, by claim.ByConsent in mode Consent while Unbroken
// holds, and by claim.ByShare otherwise.
//
// A planned stop calls Stop (no grant from then on, and no later takeover), then announces the instance as leaving, keeps
// the loop running, and calls Release while Holding is true and the grace period lasts. Release returns the record to
// write once no permit can be started any more; its result is reported like that of a Swap.
package tenure
