package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// run sends updates until the context ends. Changes that arise while an update is being sent go with the next one.
func (c *placementClient) run(ctx context.Context) {
	var polls conc.WaitGroup
	defer c.close()
	defer polls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sendSignal:
			if target, ok := c.sendUpdate(); ok {
				polls.Go(func() { c.poll(ctx, target) })
			}
		}
	}
}

// close stops sending and releases the undecided requests, so that this instance places them itself.
func (c *placementClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.forgetHub()
}

// sendUpdate sends the pending changes to the hub. It returns the hub that must be polled for decisions; ok is false if none.
func (c *placementClient) sendUpdate() (fleet.Instance, bool) {
	now := time.Now()
	target, ok := c.cfg.reachableHub(now)
	c.mu.Lock()
	if !ok || now.Before(c.fallbackUntil) {
		c.forgetHub()
		c.mu.Unlock()
		return target, false
	}
	update, generation := c.nextUpdate(target.Name), c.generation
	c.mu.Unlock()
	response, err := c.cfg.send(target.Address, update)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation {
		// A long poll has failed in the meantime. The next update lists all running requests.
		return target, false
	}
	if !c.applyDecisions(target.Name, response, err) && update.Complete && err == nil {
		c.startFallback(time.Now())
	}
	if len(c.undecided) == 0 || c.placingHub == "" || c.polling {
		return target, false
	}
	c.polling = true
	return target, true
}

// nextUpdate builds the next update for a hub; mu must be held.
func (c *placementClient) nextUpdate(hubName string) hub.PlacementUpdate {
	update := c.unsent
	c.unsent = hub.PlacementUpdate{}
	if c.placingHub != hubName {
		update = hub.PlacementUpdate{Complete: true}
		for _, r := range c.running {
			update.Running = append(update.Running, r)
		}
		now := time.Now()
		for fingerprint, r := range c.refused.All(now) {
			update.Returning = append(update.Returning, encodeReturn(now, fingerprint, r))
		}
	}
	c.sequence++
	update.Instance, update.Run, update.Sequence = c.cfg.instance, c.cfg.run, c.sequence
	now := time.Now()
	for id, req := range c.undecided {
		if !req.sent {
			req.sent = true
			update.Requests = append(update.Requests, encodeRequest(now, id, req))
		}
	}
	return update
}

// encodeRequest returns the message form of an undecided request, with times relative to now.
func encodeRequest(now time.Time, id int64, req *undecidedRequest) hub.PlacementRequest {
	j := req.job
	encoded := hub.PlacementRequest{
		ID: id, Service: req.service, Route: j.Route, Team: j.Team, Tier: j.Tier, Rank: j.RouteTier, DataCentre: j.DataCentre,
		PromptTokens: j.PromptTokens, MaxOutputTokens: j.MaxOutputTokens, OutputHint: j.OutputHint,
		GapMS: j.Gap.Milliseconds(), AgeMS: now.Sub(j.Arrived).Milliseconds(),
		ObjectiveMS: j.Objective.Sub(now).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(), Tried: j.Tried,
		Fingerprint: j.Fingerprint, Resumed: j.Resumed,
	}
	if j.Returned() {
		encoded.Returned, encoded.FirstAgeMS = true, now.Sub(j.FirstArrival).Milliseconds()
	}
	return encoded
}

// applyDecisions handles the answer of a hub and reports whether it places for this instance; mu must be held.
func (c *placementClient) applyDecisions(hubName string, response hub.PlacementResponse, err error) bool {
	now := time.Now()
	if err != nil {
		event.HubPlacementStopped.Log(c.cfg.log).Str("hub", hubName).Int("asks", len(c.undecided)).Err(err).Send()
		c.forgetHub()
		c.startFallback(now)
		return false
	}
	if !response.Accepted {
		c.forgetHub()
		return false
	}
	c.returnsExpected = response.Returning
	if c.placingHub != hubName {
		c.placingHub = hubName
		event.HubPlacementStarted.Log(c.cfg.log).Str("hub", hubName).Int("running", len(c.running)).Send()
	}
	for _, decision := range response.Decisions {
		c.failures = 0
		if req := c.undecided[decision.ID]; req != nil {
			delete(c.undecided, decision.ID)
			req.hub = hubName
			if (decision.Server != fleet.Incarnation{}) {
				c.running[decision.ID] = hub.PlacedRequest{
					ID: decision.ID, Server: decision.Server, Route: req.job.Route, Team: req.job.Team,
					PromptTokens: req.job.PromptTokens,
				}
			}
			req.decision <- decision
			continue
		}
		if (decision.Server != fleet.Incarnation{}) {
			c.recordEnd(decision.ID, placement.Outcome{Abandoned: true})
		}
	}
	return true
}

// startFallback makes this instance place its requests itself for a while; mu must be held. The duration is randomised, so
// that instances that lost the hub at the same moment do not return to it together, each with all its running requests.
func (c *placementClient) startFallback(now time.Time) {
	mean := min(initialFallback<<min(c.failures, 8), maxFallback)
	c.failures++
	c.fallbackUntil = now.Add(mean/2 + rand.N(mean))
}

// forgetHub discards the client's record of the hub and its unsent changes, and releases the undecided requests to be placed
// by this instance. The hub is not told; the next update is complete. mu must be held.
func (c *placementClient) forgetHub() {
	c.placingHub, c.unsent, c.returnsExpected = "", hub.PlacementUpdate{}, false
	c.generation++
	for id, req := range c.undecided {
		delete(c.undecided, id)
		req.decision <- hub.Decision{ID: id, PlaceLocally: true}
	}
}

// poll long-polls a hub for decisions while requests are queued there.
func (c *placementClient) poll(ctx context.Context, target fleet.Instance) {
	for {
		generation, ok := c.keepPolling(target.Name)
		if !ok || ctx.Err() != nil {
			return
		}
		response, err := c.cfg.send(target.Address, hub.PlacementUpdate{
			Instance: c.cfg.instance, Run: c.cfg.run, WaitMS: longPollTimeout.Milliseconds(),
		})
		c.applyPoll(target.Name, response, err, generation)
	}
}

// applyPoll handles the answer to a long poll.
func (c *placementClient) applyPoll(hubName string, response hub.PlacementResponse, err error, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation {
		// The instance has sent a complete update since, and the answer may hold decisions on requests of that update.
		c.forgetHub()
		return
	}
	c.applyDecisions(hubName, response, err)
}

// keepPolling reports whether to go on polling a hub, and returns the current generation.
func (c *placementClient) keepPolling(hubName string) (generation int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polling = c.placingHub == hubName && len(c.undecided) > 0
	return c.generation, c.polling
}
