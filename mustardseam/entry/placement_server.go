package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

const (
	// maxMessagesPerCore is the rate of messages from clients, per second and core, above which the hub stops placing for
	// others. It takes less than half of a core: in a benchmark a message took 85 us at both ends together.
	maxMessagesPerCore = 5000.0
	// overloadPause is how long an overloaded hub leaves the other instances to place their requests themselves.
	overloadPause = 3 * time.Second
	// maxLongPoll bounds how long a message is held until there is a decision.
	maxLongPoll = 250 * time.Millisecond
)

// placementServer is the state of a hub that places requests to engines for other instances. A single instance that knows
// all requests performs better than many that share the free slots and order only their own requests. The mutex of the
// Scheduler guards it.
type placementServer struct {
	clients     map[string]*remoteInstance // Keyed by instance.
	messageRate placement.Rate             // Rate of client messages.
	closedUntil time.Time                  // Until this time, the hub places for no other instance.
}

// HandleUpdate applies the update of another instance and returns the decisions on its requests.
func (s *Scheduler) HandleUpdate(update hub.PlacementUpdate, cores float64) hub.PlacementResponse {
	c := s.applyUpdate(update, cores)
	if c == nil {
		return hub.PlacementResponse{}
	}
	if update.WaitMS > 0 {
		timer := time.NewTimer(min(time.Duration(update.WaitMS)*time.Millisecond, maxLongPoll))
		defer timer.Stop()
		select {
		case <-c.decisionReady:
		case <-timer.C:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := hub.PlacementResponse{
		Accepted: s.placementServer.clients[update.Instance] == c, Decisions: c.decisions, Returning: s.returning.Any(time.Now()),
	}
	c.decisions = nil
	return response
}

// Clients returns the number of other instances for which this one places requests.
func (s *Scheduler) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.placementServer.clients)
}

// applyUpdate applies an update and returns the client, or nil when this instance does not place for it.
func (s *Scheduler) applyUpdate(update hub.PlacementUpdate, cores float64) *remoteInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.placementServer.closedUntil) {
		return nil
	}
	s.placementServer.messageRate.Add(now)
	if s.placementServer.messageRate.PerSecond(now) > maxMessagesPerCore*cores {
		s.placementServer.closedUntil = now.Add(overloadPause)
		s.dropAllClients(now)
		return nil
	}
	c := s.placementServer.clients[update.Instance]
	if update.WaitMS > 0 {
		if c == nil || c.run != update.Run {
			return nil
		}
		return c
	}
	if c != nil && c.run == update.Run && update.Sequence <= c.sequence {
		return nil // A later update has arrived first.
	}
	if update.Complete {
		s.dropClient(now, update.Instance)
		c = newRemoteInstance(update)
		s.placementServer.clients[update.Instance] = c
		s.board.SetInstances(s.possibleInstances, 1+len(s.placementServer.clients))
	}
	if c == nil || c.run != update.Run {
		return nil
	}
	c.sequence = update.Sequence
	s.applyChanges(now, c, update)
	if len(update.Completed) > 0 {
		s.dispatch(now)
	}
	return c
}

// applyChanges applies the changes in the update of a client; mu must be held.
func (s *Scheduler) applyChanges(now time.Time, c *remoteInstance, update hub.PlacementUpdate) {
	for _, r := range update.Running {
		s.recordRunning(now, c, r)
		if !update.Complete {
			s.serverLimiter.Charge(now, r.Server.ID, c.instance)
		}
	}
	for _, first := range update.FirstEvents {
		if g := c.grants[first.ID]; g != nil && !g.firstEventSeen {
			g.firstEventSeen = true
			s.board.RecordFirstEvent(now, g.Service, g.Server, g.job, g.Load, time.Duration(first.FirstEventUS)*time.Microsecond)
		}
	}
	for _, completed := range update.Completed {
		if g := c.grants[completed.ID]; g != nil {
			delete(c.grants, completed.ID)
			s.finish(now, g, completed.Outcome)
		}
	}
	for _, id := range update.Cancelled {
		if w, ok := c.queued[id]; ok {
			delete(c.queued, id)
			delete(s.pending, w.entry)
			s.queue(w.service).Remove(w.entry)
		}
	}
	for _, r := range update.Returning {
		s.returning.Add(now, r.Fingerprint, decodeReturn(now, r))
	}
	for _, req := range update.Requests {
		s.placeForClient(now, c, req)
	}
}

// recordRunning records a request that a client placed itself; mu must be held.
func (s *Scheduler) recordRunning(now time.Time, c *remoteInstance, r hub.PlacedRequest) {
	v := s.cfg.view()
	srv := v.Servers[r.Server.ID]
	if v.Config == nil || srv == nil || srv.Incarnation() != r.Server || c.grants[r.ID] != nil {
		return
	}
	svc := v.Config.Service(srv.Service)
	if svc == nil {
		return
	}
	c.grants[r.ID] = s.start(now, v, svc, srv, &placement.Job{
		Instance: c.instance, Route: r.Route, Team: r.Team, PromptTokens: r.PromptTokens, Arrived: now, Objective: now,
		Deadline: now,
	})
}

// placeForClient places a request of a client or queues it; mu must be held.
func (s *Scheduler) placeForClient(now time.Time, c *remoteInstance, req hub.PlacementRequest) {
	v := s.cfg.view()
	if v.Config == nil || v.Config.Service(req.Service) == nil {
		c.addDecision(hub.Decision{ID: req.ID, PlaceLocally: true})
		return
	}
	ms := func(n int64) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	j := &placement.Job{
		Instance: c.instance, Route: req.Route, Team: req.Team, Tier: req.Tier, RouteTier: req.Rank,
		DataCentre:   req.DataCentre,
		PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens, OutputHint: req.OutputHint,
		Gap:     time.Duration(req.GapMS) * time.Millisecond,
		Arrived: ms(-req.AgeMS), Objective: ms(req.ObjectiveMS), Deadline: ms(req.DeadlineMS), Tried: req.Tried,
		Resumed: req.Resumed,
	}
	if req.Returned {
		j.FirstArrival = ms(-req.FirstAgeMS)
	} else if r, ok := s.takeReturn(now, req.Fingerprint); ok {
		j = j.WithReturn(r.FirstArrival)
	}
	w := s.placeOrQueue(now, req.Service, j, func(g *Grant, r *placement.Refusal) {
		delete(c.queued, req.ID)
		if r != nil {
			c.addDecision(hub.Decision{
				ID: req.ID, Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds(), Cause: r.Cause, Returned: r.Returned,
			})
			return
		}
		c.grants[req.ID] = g
		c.addDecision(hub.Decision{
			ID: req.ID, Server: g.Server.Incarnation(), FirstEventMS: g.PredictedFirstEvent.Milliseconds(), Load: g.Load,
		})
	})
	if w != nil {
		c.queued[req.ID] = queuedRequest{service: req.Service, entry: w}
	}
}

// dropClient removes a client with its queued and running requests; mu must be held.
func (s *Scheduler) dropClient(now time.Time, instance string) {
	c := s.placementServer.clients[instance]
	if c == nil {
		return
	}
	delete(s.placementServer.clients, instance)
	c.signalDecision()
	s.board.SetInstances(s.possibleInstances, 1+len(s.placementServer.clients))
	for _, w := range c.queued {
		delete(s.pending, w.entry)
		s.queue(w.service).Remove(w.entry)
	}
	for _, g := range c.grants {
		s.finish(now, g, placement.Outcome{Abandoned: true, FirstEvent: g.firstEventSeen})
	}
}

// dropAllClients removes all clients; mu must be held.
func (s *Scheduler) dropAllClients(now time.Time) {
	for instance := range s.placementServer.clients {
		s.dropClient(now, instance)
	}
}

// removeClient removes an instance that now places its requests itself.
func (s *Scheduler) removeClient(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropClient(time.Now(), instance)
}
