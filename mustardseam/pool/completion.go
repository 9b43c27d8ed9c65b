package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
)

// orphanTimeout is how long a request without a deadline stays counted at a server without load reports after its entry
// instance has died.
const orphanTimeout = time.Minute

// Granted returns the permit of a running request.
func (p *Pool) Granted(id string) (Permit, bool) {
	r := p.requests[id]
	if r == nil || r.server == nil {
		return Permit{}, false
	}
	return p.permitFor(r), true
}

// Done records the end of a granted request. Outcomes of other requests are ignored.
func (p *Pool) Done(now time.Time, o Outcome) {
	p.advanceClock(now)
	r := p.requests[o.AskID]
	if r == nil || r.server == nil {
		return
	}
	p.finish(now, r, o)
}

// finish removes a running request and passes its outcome to the server, the estimates and the picker.
func (p *Pool) finish(now time.Time, r *request, o Outcome) {
	delete(p.requests, r.ID)
	s := r.server
	s.capacity.Finished(now, sample(r, o))
	p.updateEstimates(now, r, o)
	if s.node != nil && o.Result == OK {
		p.picker.CacheObserved(s.node, r.expectedCachedTokens, o.CachedTokens, r.Prefix)
	}
	p.updateAfterEnd(s)
}

// updateAfterEnd refreshes the server after one of its requests has ended. It deletes a server that is no longer
// configured once its last request has ended.
func (p *Pool) updateAfterEnd(s *server) {
	switch {
	case s.node != nil:
		p.refresh(s)
	case s.capacity.Own() == 0 && p.removedServers[s.Name] == s:
		delete(p.removedServers, s.Name)
	}
}

// sample converts an outcome into a sample of the server's health and speed. A status from 400 to 499 other than 429 is
// attributed to the caller, not to the server.
func sample(r *request, o Outcome) capacity.Sample {
	failed := o.Result == Failed || o.Result == Incomplete || o.Result == Unknown || o.Result == NotRun
	if o.PermitUnused || o.Status >= 400 && o.Status < 500 && o.Status != 429 {
		failed = false
	}
	return capacity.Sample{
		Granted:              r.granted,
		OK:                   o.Result == OK,
		Failed:               failed,
		NotRun:               o.Result == NotRun,
		Cold:                 o.Cold,
		Aborted:              failed && (o.Result == Failed || o.Result == Incomplete),
		MayRun:               o.Result == Cancelled || o.Result == Incomplete || o.Result == Unknown,
		UncachedTokens:       max(0, o.PromptTokens-o.CachedTokens),
		PendingPrefillTokens: r.pendingPrefillTokens,
		OutputTokens:         o.OutputTokens,
		FirstToken:           o.FirstToken,
		InterToken:           o.InterToken,
	}
}

// updateEstimates updates the mean duration and the cost estimates, and charges the team the difference between the
// actual and the estimated cost.
func (p *Pool) updateEstimates(now time.Time, r *request, o Outcome) {
	if o.Result == OK {
		d := now.Sub(r.granted)
		p.meanDuration += (d - p.meanDuration) / 32
	}
	if p.isServicePool() {
		if o.Result == NotRun {
			p.queue.CorrectCost(r.Tier, r.Team, r.Group, -r.item.Cost)
		}
		return
	}
	if o.Result == OK {
		p.costs.Observe(r.Route, r.Team, r.MaxOutputTokens, o.OutputTokens)
	}
	p.queue.CorrectCost(r.Tier, r.Team, r.Group, actualTokens(o)-r.item.Cost)
}

// actualTokens returns the tokens that the request computed.
func actualTokens(o Outcome) float64 {
	if o.Result == NotRun {
		return 0
	}
	return float64(max(0, o.PromptTokens-o.CachedTokens) + o.OutputTokens)
}

// Orphan keeps the running requests of a dead entry instance counted until a later load report shows that they have
// ended. At servers without load reports they stay counted until shortly after their deadline.
func (p *Pool) Orphan(now time.Time, entryInstance string) {
	p.advanceClock(now)
	for _, r := range p.requestsByID() {
		if r.server == nil || r.EntryInstance != entryInstance {
			continue
		}
		if r.server.capacity.NeverReports() {
			p.addOrphan(now, r)
			continue
		}
		delete(p.requests, r.ID)
		r.server.capacity.Orphan(now, r.granted)
		p.updateAfterEnd(r.server)
	}
}

// addOrphan keeps the request counted until its deadline, or for orphanTimeout if it has none.
func (p *Pool) addOrphan(now time.Time, r *request) {
	for _, known := range p.orphans {
		if known == r {
			return
		}
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(orphanTimeout)
	}
	p.orphans = append(p.orphans, r)
}

// orphanExpiry returns when an orphaned request is no longer counted. It is later than the deadline because the request
// may have started shortly before it.
func (r *request) orphanExpiry() time.Time { return r.Deadline.Add(3 * time.Second) }

// expireOrphans ends the orphaned requests whose expiry has passed.
func (p *Pool) expireOrphans(now time.Time) {
	kept := p.orphans[:0]
	for _, r := range p.orphans {
		if now.Before(r.orphanExpiry()) {
			kept = append(kept, r)
			continue
		}
		if p.requests[r.ID] == r {
			p.finish(now, r, Outcome{AskID: r.ID, Result: Cancelled})
		}
	}
	clear(p.orphans[len(kept):])
	p.orphans = kept
}
