package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

const (
	// messagesPerCore is the number of messages of clients in a second that a core answers with less than half of its time: in
	// a benchmark one took 85 us at both ends together.
	messagesPerCore = 5000.0
	// deskPause is how long a hub that gets more than that leaves the others to place their requests themselves.
	deskPause = 3 * time.Second
	// mostWait bounds how long a message is held until there is a decision.
	mostWait = 250 * time.Millisecond
)

// desk is the hub's part of placing requests to engines for others. One instance that knows all requests loses less than
// many that share the free slots and order their own requests only. The mutex of the scheduler guards it.
type desk struct {
	clients  map[string]*client // By instance.
	messages place.Rate
	closed   time.Time // It places for nobody until then.
}

// Serve takes in the news of another instance and returns the decisions on its requests.
func (s *Scheduler) Serve(n hub.News, cores float64) hub.Decisions {
	c := s.news(n, cores)
	if c == nil {
		return hub.Decisions{}
	}
	if n.WaitMS > 0 {
		timer := time.NewTimer(min(time.Duration(n.WaitMS)*time.Millisecond, mostWait))
		defer timer.Stop()
		select {
		case <-c.wake:
		case <-timer.C:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := hub.Decisions{Known: s.desk.clients[n.Node] == c, Decisions: c.decided}
	c.decided = nil
	return d
}

// Served returns the number of other instances for which this one places.
func (s *Scheduler) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.desk.clients)
}

// news takes in news and returns the client, or nil when this instance does not place for it.
func (s *Scheduler) news(n hub.News, cores float64) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.desk.closed) {
		return nil
	}
	s.desk.messages.Add(now)
	if s.desk.messages.PerSecond(now) > messagesPerCore*cores {
		s.desk.closed = now.Add(deskPause)
		s.closeDesk(now)
		return nil
	}
	c := s.desk.clients[n.Node]
	if n.WaitMS > 0 {
		if c == nil || c.run != n.Run {
			return nil
		}
		return c
	}
	if c != nil && c.run == n.Run && n.Sequence <= c.sequence {
		return nil // A later message has overtaken it.
	}
	if n.Fresh {
		s.dropClient(now, n.Node)
		c = newClient(n)
		s.desk.clients[n.Node] = c
		s.board.SetNodes(s.sharers, 1+len(s.desk.clients))
	}
	if c == nil || c.run != n.Run {
		return nil
	}
	c.sequence = n.Sequence
	s.takeIn(now, c, n)
	if len(n.Ended) > 0 {
		s.pump(now)
	}
	return c
}

// takeIn applies news; mu is held.
func (s *Scheduler) takeIn(now time.Time, c *client, n hub.News) {
	for _, r := range n.Running {
		s.takeOver(now, c, r)
	}
	for _, b := range n.Began {
		if g := c.grants[b.ID]; g != nil && !g.began {
			g.began = true
			s.board.Began(now, g.Service, g.Server, g.job, g.Load, time.Duration(b.FirstUS)*time.Microsecond)
		}
	}
	for _, e := range n.Ended {
		if g := c.grants[e.ID]; g != nil {
			delete(c.grants, e.ID)
			s.finish(now, g, e.Outcome)
		}
	}
	for _, id := range n.Withdrawn {
		if w, ok := c.waiting[id]; ok {
			delete(c.waiting, id)
			delete(s.waiting, w.entry)
			s.queue(w.service).Remove(w.entry)
		}
	}
	for _, a := range n.Asks {
		s.serve(now, c, a)
	}
}

// takeOver records a request that a client placed itself; mu is held.
func (s *Scheduler) takeOver(now time.Time, c *client, r hub.Running) {
	v := s.cfg.view()
	srv := v.Servers[r.Server.ID]
	if v.Config == nil || srv == nil || srv.Incarnation() != r.Server || c.grants[r.ID] != nil {
		return
	}
	svc := v.Config.Service(srv.Service)
	if svc == nil {
		return
	}
	c.grants[r.ID] = s.start(now, v, svc, srv, &place.Job{
		Instance: c.node, Route: r.Route, Team: r.Team, Prompt: r.Prompt, Arrived: now, Objective: now, Deadline: now,
	})
}

// serve decides on an ask of a client or lets it wait; mu is held.
func (s *Scheduler) serve(now time.Time, c *client, a hub.Ask) {
	v := s.cfg.view()
	if v.Config == nil || v.Config.Service(a.Service) == nil {
		c.decide(hub.Decision{ID: a.ID, Void: true})
		return
	}
	ms := func(n int64) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	j := &place.Job{
		Instance: c.node, Route: a.Route, Team: a.Team, Tier: a.Tier, Rank: a.Rank, DataCentre: a.DataCentre,
		Prompt: a.Prompt, Output: a.Output, Hint: a.Hint, Gap: time.Duration(a.GapMS) * time.Millisecond,
		Arrived: ms(-a.AgeMS), Objective: ms(a.ObjectiveMS), Deadline: ms(a.DeadlineMS), Tried: a.Tried,
	}
	w := s.ask(now, a.Service, j, func(g *Grant, r *place.Refusal) {
		delete(c.waiting, a.ID)
		if r != nil {
			c.decide(hub.Decision{ID: a.ID, Reason: r.Reason, AfterMS: r.After.Milliseconds()})
			return
		}
		c.grants[a.ID] = g
		c.decide(hub.Decision{ID: a.ID, Server: g.Server.Incarnation(), FirstMS: g.First.Milliseconds(), Load: g.Load})
	})
	if w != nil {
		c.waiting[a.ID] = waitingAsk{service: a.Service, entry: w}
	}
}

// dropClient forgets what an instance told; mu is held.
func (s *Scheduler) dropClient(now time.Time, node string) {
	c := s.desk.clients[node]
	if c == nil {
		return
	}
	delete(s.desk.clients, node)
	c.tell()
	s.board.SetNodes(s.sharers, 1+len(s.desk.clients))
	for _, w := range c.waiting {
		delete(s.waiting, w.entry)
		s.queue(w.service).Remove(w.entry)
	}
	for _, g := range c.grants {
		s.finish(now, g, place.Outcome{Left: true, First: g.began})
	}
}

// closeDesk forgets all clients; mu is held.
func (s *Scheduler) closeDesk(now time.Time) {
	for node := range s.desk.clients {
		s.dropClient(now, node)
	}
}

// leave forgets an instance that places its requests itself.
func (s *Scheduler) leave(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropClient(time.Now(), node)
}
