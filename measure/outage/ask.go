package outage

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// poll sends the call's ask to the home and repeats that until the call has started or ended.
func (i *instance) poll(c *call) {
	w := i.w
	if i.dead || c.closed || c.started {
		return
	}
	sent := w.Clock.Now()
	if home := i.target(); home != nil {
		w.Clock.After(between, func() {
			if !home.dead {
				home.ask(c, sent)
			}
		})
	}
	w.Clock.After(pollEvery, func() { i.poll(c) })
}

// target returns the instance that may grant for this one: itself in static share mode, else the home of the record.
func (i *instance) target() *instance {
	if i.tenure.Mode(i.w.Clock.Now()) == tenure.Static {
		return i
	}
	ref, ok := i.tenure.HomeRef()
	if !ok {
		return nil
	}
	return i.w.byID(ref.Home)
}

// ask takes in a poll at the home.
func (i *instance) ask(c *call, sent time.Time) {
	w := i.w
	now := w.Clock.Now()
	if c.closed || c.started || i.pool == nil || !i.tenure.MayGrant(now) {
		return
	}
	if p, ok := i.permits[c.id]; ok {
		delete(i.permits, c.id)
		i.hand(c, p, sent)
		return
	}
	if i.asked[c.id] || c.Key != "" && !i.claim(c) {
		return
	}
	i.asked[c.id] = true
	i.pool.Ask(now, pool.Ask{
		ID: c.id, EntryInstance: c.entry.id, Team: "purchase", Route: "buy-strapping", Deadline: now.Add(callTimeout),
		Key: c.Key, NonIdempotent: c.Key != "",
	})
	i.decide()
}

// claim claims the call's key and reports whether the ask may be queued; a final answer goes back at once.
func (i *instance) claim(c *call) bool {
	w := i.w
	standing := map[tenure.Mode]claim.Authority{
		tenure.Home: claim.ByStore, tenure.Consent: claim.ByConsent, tenure.Static: claim.ByStaticShare,
	}[i.tenure.Mode(w.Clock.Now())]
	d := claim.Decision{Result: claim.Unavailable}
	if i.journal != nil {
		d = i.journal.Claim(w.Clock.Now(), claim.Key("purchase", "buy-strapping", c.Key), c.id, c.entry.id, standing)
	}
	finals := map[claim.Result]Final{
		claim.InProgress: InProgress, claim.Done: Answered, claim.Expired: NotRun, claim.Unknown: Unknown,
		claim.Unavailable: NotRun,
	}
	if f, ok := finals[d.Result]; ok {
		w.Clock.After(between, func() {
			if !c.started {
				w.answer(c, f)
			}
		})
	}
	return d.Result == claim.Proceed
}

// decide keeps new permits until they are fetched; those that nobody fetches in time become void.
func (i *instance) decide() {
	now := i.w.Clock.Now()
	if i.pool == nil || !i.tenure.MayGrant(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(i.permits)) {
		if i.w.Clock.Since()-i.permits[id].at > unfetched {
			delete(i.permits, id)
			i.unused(id)
		}
	}
	d := i.pool.Decide(now)
	for _, p := range d.Permits {
		i.permits[p.Ask] = permit{p, i.w.Clock.Since()}
	}
	for _, r := range d.Refusals {
		delete(i.asked, r.Ask)
		if i.journal != nil {
			i.journal.MarkNotRun(now, r.Ask)
		}
	}
}

// unused accounts for a permit that was certainly not started.
func (i *instance) unused(ask string) {
	now := i.w.Clock.Now()
	delete(i.asked, ask)
	if i.pool != nil {
		i.pool.Done(now, pool.Outcome{Ask: ask, Result: pool.NotRun, PermitUnused: true})
	}
	if i.journal != nil {
		i.journal.MarkNotRun(now, ask)
	}
}

// hand gives a fetched permit to the entry instance, after the claim has been marked as started.
func (i *instance) hand(c *call, p permit, sent time.Time) {
	w := i.w
	if c.Key != "" && (i.journal == nil || !i.journal.Start(w.Clock.Now(), c.id)) {
		i.unused(c.id)
		return
	}
	w.Clock.After(between, func() { c.entry.start(c, p, i, sent) })
}
