package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// run sends news until the instance ends; what comes up meanwhile goes with the next message.
func (a *asking) run(ctx context.Context) {
	var polls conc.WaitGroup
	defer a.close()
	defer polls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.kick:
			if to, ok := a.send(); ok {
				polls.Go(func() { a.poll(ctx, to) })
			}
		}
	}
}

// close leaves what waits to the instance.
func (a *asking) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.drop()
}

// send tells the hub what there is to tell. It returns the hub that is to be polled for decisions, and false for none.
func (a *asking) send() (fleet.Node, bool) {
	now := time.Now()
	to, ok := a.cfg.hub(now)
	a.mu.Lock()
	if !ok || now.Before(a.paused) {
		a.drop()
		a.mu.Unlock()
		return to, false
	}
	n, drops := a.message(to.Name), a.drops
	a.mu.Unlock()
	d, err := a.cfg.place(to.Address, n)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drops != drops {
		// A wait for decisions has failed meanwhile. The next message tells all that runs.
		return to, false
	}
	if !a.take(to.Name, d, err) && n.Fresh && err == nil {
		a.pause(time.Now())
	}
	if len(a.asks) == 0 || a.hub == "" || a.polling {
		return to, false
	}
	a.polling = true
	return to, true
}

// message makes the next message to a hub; mu is held.
func (a *asking) message(to string) hub.News {
	n := a.news
	a.news = hub.News{}
	if a.hub != to {
		n = hub.News{Fresh: true}
		for _, r := range a.running {
			n.Running = append(n.Running, r)
		}
	}
	a.sequence++
	n.Node, n.Run, n.Sequence = a.cfg.node, a.cfg.run, a.sequence
	now := time.Now()
	for id, ask := range a.asks {
		if !ask.sent {
			ask.sent = true
			n.Asks = append(n.Asks, askOf(now, id, ask))
		}
	}
	return n
}

// askOf translates a job.
func askOf(now time.Time, id int64, a *openAsk) hub.Ask {
	j := a.job
	return hub.Ask{
		ID: id, Service: a.service, Route: j.Route, Team: j.Team, Tier: j.Tier, Rank: j.Rank, DataCentre: j.DataCentre,
		Prompt: j.Prompt, Output: j.Output, Hint: j.Hint, GapMS: j.Gap.Milliseconds(), AgeMS: now.Sub(j.Arrived).Milliseconds(),
		ObjectiveMS: j.Objective.Sub(now).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(), Tried: j.Tried,
	}
}

// take takes in the answer of a hub and reports whether it places for this instance; mu is held.
func (a *asking) take(from string, d hub.Decisions, err error) bool {
	now := time.Now()
	if err != nil {
		event.PlacingLost.On(a.cfg.log).Str("hub", from).Int("asks", len(a.asks)).Err(err).Send()
		a.drop()
		a.pause(now)
		return false
	}
	if !d.Known {
		a.drop()
		return false
	}
	if a.hub != from {
		a.hub = from
		event.PlacingFound.On(a.cfg.log).Str("hub", from).Int("running", len(a.running)).Send()
	}
	for _, decision := range d.Decisions {
		a.losses = 0
		if ask := a.asks[decision.ID]; ask != nil {
			delete(a.asks, decision.ID)
			ask.by = from
			if (decision.Server != fleet.Incarnation{}) {
				a.running[decision.ID] = hub.Running{
					ID: decision.ID, Server: decision.Server, Route: ask.job.Route, Team: ask.job.Team, Prompt: ask.job.Prompt,
				}
			}
			ask.decided <- decision
			continue
		}
		if (decision.Server != fleet.Incarnation{}) {
			a.end(decision.ID, place.Outcome{Left: true})
		}
	}
	return true
}

// pause lets requests be placed here for a while; mu is held. The time is drawn, so that instances that lost the hub at the
// same moment do not come back to it together, each with all that it runs.
func (a *asking) pause(now time.Time) {
	mean := min(askPause<<min(a.losses, 8), mostAskPause)
	a.losses++
	a.paused = now.Add(mean/2 + rand.N(mean))
}

// drop leaves the requests that wait at the hub to this instance; mu is held.
func (a *asking) drop() {
	a.hub, a.news = "", hub.News{}
	a.drops++
	for id, ask := range a.asks {
		delete(a.asks, id)
		ask.decided <- hub.Decision{ID: id, Void: true}
	}
}

// poll asks a hub for decisions while requests wait there.
func (a *asking) poll(ctx context.Context, to fleet.Node) {
	for {
		drops, ok := a.waits(to.Name)
		if !ok || ctx.Err() != nil {
			return
		}
		d, err := a.cfg.place(to.Address, hub.News{Node: a.cfg.node, Run: a.cfg.run, WaitMS: askWait.Milliseconds()})
		a.polled(to.Name, d, err, drops)
	}
}

// polled takes in the answer to a wait for decisions.
func (a *asking) polled(from string, d hub.Decisions, err error, drops int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drops != drops {
		// The instance has spoken to the hub anew, and the answer may hold decisions on requests of that time.
		a.drop()
		return
	}
	a.take(from, d, err)
}

// waits reports whether to go on polling a hub, and how often what was on its way had become void before.
func (a *asking) waits(at string) (drops int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.polling = a.hub == at && len(a.asks) > 0
	return a.drops, a.polling
}
