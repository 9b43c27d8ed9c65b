package outage

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// poll sends the call's ask to the home at every poll interval until the call has started or has been answered.
func (i *instance) poll(c *call) {
	w := i.w
	if i.dead || c.closed || c.started {
		return
	}
	sent := w.Clock.Now()
	if home := i.grantingInstance(); home != nil {
		w.Clock.After(instanceDelay, func() {
			if !home.dead {
				home.handlePoll(c, sent)
			}
		})
	}
	w.Clock.After(pollInterval, func() { i.poll(c) })
}

// grantingInstance returns the instance that grants permits to this one: itself in static share mode, otherwise the home
// named in the home record. It returns nil if no home is known or the home has failed.
func (i *instance) grantingInstance() *instance {
	if i.tenure.Mode(i.w.Clock.Now()) == tenure.Static {
		return i
	}
	ref, ok := i.tenure.HomeRef()
	if !ok {
		return nil
	}
	return i.w.byID(ref.Home)
}

// handlePoll processes a poll at the home: it returns a permit that is ready, or queues the ask.
func (i *instance) handlePoll(c *call, sent time.Time) {
	w := i.w
	now := w.Clock.Now()
	if c.closed || c.started || i.pool == nil || !i.tenure.MayGrant(now) {
		return
	}
	if p, ok := i.permits[c.id]; ok {
		delete(i.permits, c.id)
		i.deliverPermit(c, p, sent)
		return
	}
	if i.asked[c.id] || c.Key != "" && !i.claimKey(c) {
		return
	}
	i.asked[c.id] = true
	i.pool.Ask(now, pool.Ask{
		ID: c.id, EntryInstance: c.entry.id, Team: "purchase", Route: "buy-strapping", Deadline: now.Add(callTimeout),
		Key: c.Key, NonIdempotent: c.Key != "",
	})
	i.grantPermits()
}

// claimKey claims the call's key and reports whether the ask may be queued. If the claim already decides the outcome, the
// call is answered without queueing.
func (i *instance) claimKey(c *call) bool {
	w := i.w
	authorities := map[tenure.Mode]claim.Authority{
		tenure.Home: claim.ByStore, tenure.Consent: claim.ByConsent, tenure.Static: claim.ByStaticShare,
	}[i.tenure.Mode(w.Clock.Now())]
	d := claim.Decision{Result: claim.Unavailable}
	if i.journal != nil {
		d = i.journal.Claim(w.Clock.Now(), claim.Key("purchase", "buy-strapping", c.Key), c.id, c.entry.id, authorities)
	}
	finals := map[claim.Result]Final{
		claim.InProgress: InProgress, claim.Done: Answered, claim.Expired: NotRun, claim.Unknown: Unknown,
		claim.Unavailable: NotRun,
	}
	if f, ok := finals[d.Result]; ok {
		w.Clock.After(instanceDelay, func() {
			if !c.started {
				w.answer(c, f)
			}
		})
	}
	return d.Result == claim.Proceed
}

// grantPermits stores the permits that the pool grants until they are fetched, and releases those that are not fetched
// within permitTimeout.
func (i *instance) grantPermits() {
	now := i.w.Clock.Now()
	if i.pool == nil || !i.tenure.MayGrant(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(i.permits)) {
		if i.w.Clock.Since()-i.permits[id].grantedAt > permitTimeout {
			delete(i.permits, id)
			i.releaseUnused(id)
		}
	}
	d := i.pool.Decide(now)
	for _, p := range d.Permits {
		i.permits[p.AskID] = permit{p, i.w.Clock.Since()}
	}
	for _, r := range d.Refusals {
		delete(i.asked, r.AskID)
		if i.journal != nil {
			i.journal.MarkNotRun(now, r.AskID)
		}
	}
}

// releaseUnused releases a permit whose call was certainly not started.
func (i *instance) releaseUnused(ask string) {
	now := i.w.Clock.Now()
	delete(i.asked, ask)
	if i.pool != nil {
		i.pool.Done(now, pool.Outcome{AskID: ask, Result: pool.NotRun, PermitUnused: true})
	}
	if i.journal != nil {
		i.journal.MarkNotRun(now, ask)
	}
}

// deliverPermit sends a fetched permit to the entry instance after marking the claim as started.
func (i *instance) deliverPermit(c *call, p permit, sent time.Time) {
	w := i.w
	if c.Key != "" && (i.journal == nil || !i.journal.Start(w.Clock.Now(), c.id)) {
		i.releaseUnused(c.id)
		return
	}
	w.Clock.After(instanceDelay, func() { c.entry.start(c, p, i, sent) })
}
