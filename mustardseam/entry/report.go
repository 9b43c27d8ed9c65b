package entry

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
)

const (
	// sickWord is how long an instance goes by the word of others on a backend server.
	sickWord = 400 * time.Millisecond
	// pacesEvery is how many reports pass until the hub tells all paces, which change slowly.
	pacesEvery = 16
	// loadsTime is how often the hub tells an instance for which it places the loads, which that only needs when the hub is
	// lost; it is below the time for which loads are used.
	loadsTime = wordTime / 2
	// catchUpItems bounds the items that an instance passes up to its hub.
	catchUpItems = 64
)

// report tells the hub what this instance knows and takes its answer in.
func (g *gossip) report(to fleet.Node) {
	own, paces, used := g.i.scheduler.told()
	placed := g.i.asking.told(to.Name)
	if placed {
		own = nil // The hub knows it from news.
	}
	g.mu.Lock()
	for team, u := range used {
		g.pending[team] = g.pending[team].Plus(u)
	}
	g.table.Use(used)
	g.sequence++
	r := hub.Report{
		Node: g.i.cfg.Name, From: g.i.node(), Run: g.i.run, Sequence: g.sequence, Revision: g.i.follower.Revision(),
		AgeMS: g.i.storeAge(), Used: g.pending, Loads: own, Paces: paces, Samples: g.samples,
		Sick: g.i.scheduler.sick(time.Now()), Stopping: g.i.stopping.Load() != nil,
		Placed: placed, Leaving: g.i.toldLeaving(), Unsettled: !g.i.scheduler.settled(time.Now()),
	}
	if g.unsettled && to.Name == g.hub {
		r.Levels = g.i.scheduler.levels(time.Now())
	}
	if r.Revision > g.hubItems && to.Name == g.hub && g.hubItems > 0 {
		if items, whole, _ := g.i.follower.After(g.hubItems); !whole && len(items) <= catchUpItems {
			r.Items = items
		}
	}
	g.pending, g.samples = map[string]share.Use{}, nil
	g.mu.Unlock()
	d, err := g.client.Report(to.Address, r)
	if err != nil {
		g.missed(to, r, err)
		return
	}
	g.take(to, r, d)
}

// missed takes back what a report said that was not answered.
func (g *gossip) missed(to fleet.Node, r hub.Report, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.avoid[to.Name] = now
	g.silent = g.silent.after(now, err, g.nodes)
	for team, u := range r.Used {
		g.pending[team] = g.pending[team].Plus(u)
	}
	g.samples = append(r.Samples, g.samples...)
	if g.hub == to.Name {
		g.hub = ""
	}
	event.HubLost.On(g.i.log()).Str("hub", to.Name).Err(err).Send()
}

// take takes in the answer of the hub.
func (g *gossip) take(to fleet.Node, r hub.Report, d hub.Digest) {
	now := time.Now()
	age := time.Duration(d.AgeMS) * time.Millisecond
	g.i.leaving(d.Leaving...)
	if d.AgeMS >= 0 {
		g.i.follower.Hear(d.Items, d.Whole, d.From, d.Revision, age)
	}
	g.mu.Lock()
	used := map[string]share.Use{}
	if g.hubRun == d.Run {
		for team, known := range d.Known {
			used[team] = known.Minus(g.hubKnown[team].Plus(r.Used[team]))
		}
	}
	if g.hub != d.Hub {
		event.HubChosen.On(g.i.log()).Str("hub", d.Hub).Send()
	}
	g.hub, g.hubRun, g.hubKnown, g.hubItems = to.Name, d.Run, d.Known, d.Revision
	g.heard, g.heardAge = now, time.Duration(d.DirectMS)*time.Millisecond
	if d.DirectMS < 0 {
		g.heardAge = time.Hour
	}
	g.nodes, g.silent = len(d.Nodes), silence{}
	g.table.Use(used)
	g.unsettled = d.Unsettled
	g.mu.Unlock()
	g.settle(now, d.Levels)
	others, err := decodeLoads(d)
	if err != nil {
		event.HubLost.On(g.i.log()).Str("hub", to.Name).Err(err).Send()
		return
	}
	g.i.scheduler.hear(now, hearing{
		loads: others, paces: d.Paces, nodes: d.Nodes, sharers: len(d.Nodes), used: used, sick: d.Sick, until: now.Add(sickWord),
	})
}

// settle takes over what the quotas hold according to another instance, if this one does not know.
func (g *gossip) settle(now time.Time, levels map[string]float64) {
	if levels != nil && !g.i.scheduler.settled(now) {
		g.i.scheduler.adopt(now, levels)
	}
}

// decodeLoads returns what the other instances have sent, or nil when the hub left it out.
func decodeLoads(d hub.Digest) (map[string]place.Load, error) {
	if len(d.Loads) == 0 {
		return nil, nil
	}
	others := map[string]place.Load{}
	if err := json.Unmarshal(d.Loads, &others); err != nil {
		return nil, eris.Wrap(err, "decode loads")
	}
	for id, own := range d.Own {
		if l, ok := others[id]; ok {
			others[id] = l.Minus(own)
		}
	}
	return others, nil
}

// answer is the hub's part of a report.
func (g *gossip) answer(r hub.Report) hub.Digest {
	now := time.Now()
	g.i.learn(r.From)
	g.i.leaving(r.Leaving...)
	g.mu.Lock()
	used := g.table.Take(now, r)
	leads := g.hub == ""
	if !leads {
		for team, u := range used {
			g.pending[team] = g.pending[team].Plus(u)
		}
		g.samples = append(g.samples, r.Samples...)
	}
	sum, err := g.table.Sum(now, g.own)
	if err != nil {
		event.HubLost.On(g.i.log()).Str("hub", g.i.cfg.Name).Err(err).Send()
	}
	d := hub.Digest{
		Hub: g.i.cfg.Name, Run: g.i.run, Nodes: g.table.Nodes(now), Known: g.table.Known(),
		Sick: sum.Sick, From: r.Revision, Leaving: g.i.toldLeaving(),
	}
	every := max(1, int64(loadsTime/hub.Interval(len(d.Nodes), g.i.cfg.Cores)))
	if !r.Placed || r.Sequence%every == 0 {
		d.Loads, d.Own = sum.JSON, sum.Of[r.Node]
	}
	if r.Sequence%pacesEvery == 1 {
		d.Paces = g.table.Paces()
	}
	g.mu.Unlock()
	if leads {
		g.i.rollouts.observe(r.Samples)
	}
	if !r.Placed {
		g.i.scheduler.leave(r.Node)
	}
	g.i.scheduler.use(now, used)
	if len(r.Items) > 0 && r.AgeMS >= 0 {
		g.i.follower.Hear(r.Items, false, g.i.follower.Revision(), r.Revision, time.Duration(r.AgeMS)*time.Millisecond)
	}
	g.settle(now, r.Levels)
	d.Unsettled = !g.i.scheduler.settled(now)
	if r.Unsettled {
		d.Levels = g.i.scheduler.levels(now)
	}
	d.Items, d.Whole, d.Revision = g.i.follower.After(r.Revision)
	d.AgeMS, d.DirectMS = g.i.storeAge(), -1
	if age, ok := g.i.follower.DirectAge(now); ok {
		d.DirectMS = age.Milliseconds()
	}
	if d.AgeMS < 0 {
		d.Items, d.Whole = nil, false
	}
	return d
}
