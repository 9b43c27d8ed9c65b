// Package rollout moves the traffic of a route from one version to another. It contains a sequential test of the new
// version, a schedule of traffic shares, the record of a rollout, and the grow-only set of rollback marks. Rollouts of
// services are in package canary, which uses the Analyzer of this package.
//
// The package starts no goroutine and reads no clock. The home of the route's pool runs a rollout as follows:
//
//	rec := rollout.NewRecord(now, route) // Or the record read from the store at rollout.Key(id).
//	analyzer := rollout.NewAnalyzer(rollout.AnalyzerConfig{Route: rec.Route, Old: rec.From, New: rec.To})
//	analyzer.SetStep(now, rec.Step)
//	// For the outcome of each request on the route:
//	v := analyzer.Observe(now, rollout.Sample{
//		Version: version, OK: ok, FirstToken: firstToken, InterToken: interToken, LoadBucket: bucket,
//	})
//	if v.Decision == rollout.Bad {
//		marks.Add(rec.ID) // At once; the record is written when the store responds.
//	}
//	// Every 500 ms, as long as rec.InProgress():
//	next, changed := rec, false
//	switch {
//	case marks.Has(rec.ID):
//		next, changed = rollout.RollBack(now, rec, v.Reason)
//	default:
//		next, changed = rollout.Advance(now, rec, analyzer.Verdict(now))
//		if !changed {
//			next, changed = rollout.MarkLate(now, rec)
//		}
//	}
//	if changed && swap(rollout.Key(rec.ID), next) { // Compare-and-swap; read the record back when the response is lost.
//		rec = next
//		analyzer.SetStep(now, rec.Step)
//	}
//	// Traffic split of the pool: a marked rollout has share 0 everywhere, whatever its record says.
//	share := rec.Plan().Share(now, rec.Step)
package rollout
