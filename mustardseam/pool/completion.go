package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
)

// orphanTime is how long a request without a deadline stays counted at a server without load reports after its
// entry instance has died.
const orphanTime = time.Minute

// Granted returns the permit of a running request.
func (p *Pool) Granted(id string) (Permit, bool) {
	r := p.requests[id]
	if r == nil || r.server == nil {
		return Permit{}, false
	}
	return p.permit(r), true
}

// Done accounts for the end of a granted request.
func (p *Pool) Done(now time.Time, o Outcome) {
	p.advance(now)
	r := p.requests[o.Ask]
	if r == nil || r.server == nil {
		return
	}
	p.end(now, r, o)
}

func (p *Pool) end(now time.Time, r *request, o Outcome) {
	delete(p.requests, r.ID)
	s := r.server
	s.cap.Finished(now, sample(r, o))
	p.learn(now, r, o)
	if s.node != nil && o.Result == OK {
		p.picker.Observed(s.node, r.cached, o.Cached, r.Prefix)
	}
	p.settle(s)
}

// settle takes in that a request has ended at the server, and forgets a server that is no longer configured with its
// last one.
func (p *Pool) settle(s *server) {
	switch {
	case s.node != nil:
		p.refresh(s)
	case s.cap.Own() == 0 && p.removed[s.Name] == s:
		delete(p.removed, s.Name)
	}
}

// sample translates an outcome into what it says of the server. A status from 400 to 499 is the caller's fault.
func sample(r *request, o Outcome) capacity.Sample {
	failed := o.Result == Failed || o.Result == Incomplete || o.Result == Unknown || o.Result == NotRun
	if o.Unused || o.Status >= 400 && o.Status < 500 && o.Status != 429 {
		failed = false
	}
	return capacity.Sample{
		Granted:  r.granted,
		OK:       o.Result == OK,
		Failed:   failed,
		NotRun:   o.Result == NotRun,
		Cold:     o.Cold,
		Broke:    failed && (o.Result == Failed || o.Result == Incomplete),
		MayRun:   o.Result == Cancelled || o.Result == Incomplete || o.Result == Unknown,
		Uncached: max(0, o.Prompt-o.Cached),
		Ahead:    r.ahead,
		Output:   o.Output,
		First:    o.First,
		Between:  o.Between,
	}
}

// learn corrects the estimates and the team's share by the real cost.
func (p *Pool) learn(now time.Time, r *request, o Outcome) {
	if o.Result == OK {
		d := now.Sub(r.granted)
		p.duration += (d - p.duration) / 32
	}
	if p.services() {
		if o.Result == NotRun {
			p.queue.Correct(r.Tier, r.Team, r.Group, -r.item.Cost)
		}
		return
	}
	if o.Result == OK {
		p.costs.Observe(r.Route, r.Team, r.MaxOutput, o.Output)
	}
	p.queue.Correct(r.Tier, r.Team, r.Group, spent(o)-r.item.Cost)
}

// spent returns the tokens that a request took.
func spent(o Outcome) float64 {
	if o.Result == NotRun {
		return 0
	}
	return float64(max(0, o.Prompt-o.Cached) + o.Output)
}

// Orphan keeps the running requests of a dead entry instance counted until a later load report shows that they have
// ended, or past their deadline at servers without load reports.
func (p *Pool) Orphan(now time.Time, from string) {
	p.advance(now)
	for _, r := range p.sorted() {
		if r.server == nil || r.From != from {
			continue
		}
		if r.server.cap.WithoutReports() {
			p.orphan(now, r)
			continue
		}
		delete(p.requests, r.ID)
		r.server.cap.Orphan(now, r.granted)
		p.settle(r.server)
	}
}

// orphan remembers when to stop counting the request.
func (p *Pool) orphan(now time.Time, r *request) {
	for _, known := range p.orphans {
		if known == r {
			return
		}
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(orphanTime)
	}
	p.orphans = append(p.orphans, r)
}

// ends returns when an orphan stops being counted: a request may start shortly before its deadline.
func (r *request) ends() time.Time { return r.Deadline.Add(3 * time.Second) }

// endOrphans stops counting the orphans that must have ended.
func (p *Pool) endOrphans(now time.Time) {
	kept := p.orphans[:0]
	for _, r := range p.orphans {
		if now.Before(r.ends()) {
			kept = append(kept, r)
			continue
		}
		if p.requests[r.ID] == r {
			p.end(now, r, Outcome{Ask: r.ID, Result: Cancelled})
		}
	}
	clear(p.orphans[len(kept):])
	p.orphans = kept
}
