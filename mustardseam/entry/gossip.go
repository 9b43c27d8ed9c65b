package entry

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

const (
	// relayAge is how long ago the store may have answered a hub for an instance to rely on it. The hub's long polls end
	// after 1.5 s, so a longer time means that the hub does not reach the store. What a hub heard from others does not count:
	// two instances could rely on each other.
	relayAge = store.Wait + 500*time.Millisecond
	// relaySilence is how long after the latest word of a hub an instance relies on it.
	relaySilence = 700 * time.Millisecond
	// sickWord is how long an instance goes by the word of others on a backend server.
	sickWord = 400 * time.Millisecond
	// hubPause is how long a hub that did not answer is passed over.
	hubPause = 1500 * time.Millisecond
	// pacesEvery is how many reports pass until the hub tells all paces, which change slowly.
	pacesEvery = 16
	// maxSamples bounds the outcomes that wait for a report.
	maxSamples = 512
	// catchUpItems bounds the items that an instance passes up to its hub.
	catchUpItems = 64
)

// gossip exchanges reports with the other instances.
type gossip struct {
	i      *Instance
	client *hub.Client

	mu       sync.Mutex
	table    *hub.Table
	sequence int64
	pending  map[string]share.Use // Use that was learned and not reported; guarded by mu, as all that follow.
	samples  []hub.Sample
	hub      string // Name of the hub that answered last; empty when this instance is the hub.
	hubRun   int64
	hubKnown map[string]share.Use
	hubItems int64 // Revision of the hub's copy.
	heard    time.Time
	heardAge time.Duration        // Since the store answered the hub itself, when it was heard.
	avoid    map[string]time.Time // Hubs that did not answer.
	others   map[string]place.Load
	joined   bool // A hub has told what was used before this instance started.
	nodes    int  // Instances in the latest digest.
}

func newGossip(i *Instance) *gossip {
	return &gossip{
		i: i, client: hub.NewClient(), table: hub.NewTable(i.cfg.Name), pending: map[string]share.Use{},
		avoid: map[string]time.Time{}, hubKnown: map[string]share.Use{},
	}
}

// run reports until the instance ends.
func (g *gossip) run() {
	for g.i.ctx.Err() == nil {
		now := time.Now()
		target, ok := g.target(now)
		if ok {
			g.report(target)
		} else {
			g.lead(now)
		}
		g.i.scheduler.Pump()
		g.mu.Lock()
		n := g.nodes
		g.mu.Unlock()
		interval := hub.Interval(n, target.Cores)
		g.i.scheduler.setLag(2 * interval)
		g.i.sleep(interval - min(interval/2, time.Since(now)))
	}
}

// relayed reports whether a hub passes the changes of the store on.
func (g *gossip) relayed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.hub != "" && now.Sub(g.heard) < relaySilence && g.heardAge+now.Sub(g.heard) < relayAge
}

// own returns what this instance adds to the sum as the hub.
func (g *gossip) own() (map[string]place.Load, []string) {
	return g.i.scheduler.own(), g.i.scheduler.sick(time.Now())
}

// leads reports whether this instance is the hub.
func (g *gossip) leads() bool {
	target, ok := g.target(time.Now())
	return !ok && target.Cores > 0 && len(g.i.view.Load().Nodes) > 0
}

// sampled keeps the outcome of a request for the next report.
func (g *gossip) sampled(s hub.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.samples) < maxSamples {
		g.samples = append(g.samples, s)
	}
}

// target returns the instance to report to, and false when this one is the hub.
func (g *gossip) target(now time.Time) (fleet.Node, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes := g.i.view.Load().Nodes
	for _, n := range hub.Order(nodes) {
		if n.Name == g.i.cfg.Name {
			if len(nodes) == 1 && g.i.outOfDate(now) {
				break
			}
			return n, false
		}
		if now.Sub(g.avoid[n.Name]) >= hubPause {
			return n, true
		}
	}
	if len(nodes) > 1 {
		return fleet.Node{Cores: g.i.cfg.Cores}, false
	}
	// Nothing is known of the others and the store does not answer: a seed may hold a copy.
	for _, seed := range g.i.cfg.Seeds {
		if seed != g.i.cfg.PeerAddr && now.Sub(g.avoid[seed]) >= hubPause {
			return fleet.Node{Name: seed, Address: seed, Cores: g.i.cfg.Cores}, true
		}
	}
	return fleet.Node{Cores: g.i.cfg.Cores}, false
}

// lead does what the hub does for itself.
func (g *gossip) lead(now time.Time) {
	_, _, used := g.i.scheduler.told()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hub != "" {
		g.hub = ""
		event.HubChosen.On(g.i.log()).Str("hub", g.i.cfg.Name).Send()
	}
	clear(g.pending)
	g.table.Use(used)
	nodes := g.table.Nodes(now)
	g.nodes = len(nodes)
	g.table.Sweep(now)
	sum, err := g.table.Sum(now, g.own)
	if err != nil {
		event.HubLost.On(g.i.log()).Str("hub", g.i.cfg.Name).Err(err).Send()
	}
	others := maps.Clone(sum.Loads)
	for id, l := range sum.Of[g.i.cfg.Name] {
		others[id] = others[id].Minus(l)
	}
	g.i.scheduler.hear(now, hearing{
		loads: others, paces: g.table.Paces(), nodes: nodes, sick: sum.Sick, until: now.Add(sickWord),
	})
	samples := g.samples
	g.samples = nil
	g.i.rollouts.observe(samples)
}

// report tells the hub what this instance knows and takes its answer in.
func (g *gossip) report(to fleet.Node) {
	own, paces, used := g.i.scheduler.told()
	g.mu.Lock()
	for team, u := range used {
		g.pending[team] = g.pending[team].Plus(u)
	}
	g.table.Use(used)
	g.sequence++
	r := hub.Report{
		Node: g.i.cfg.Name, From: g.i.node(), Run: g.i.run, Sequence: g.sequence, Revision: g.i.follower.Revision(), AgeMS: g.i.storeAge(),
		Used: g.pending, Loads: own, Paces: paces, Samples: g.samples, Sick: g.i.scheduler.sick(time.Now()), Stopping: g.i.stopping.Load() != nil,
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
	g.avoid[to.Name] = time.Now()
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
	g.nodes = len(d.Nodes)
	g.table.Use(used)
	first := !g.joined
	g.joined = true
	g.mu.Unlock()
	if first {
		g.i.scheduler.adopt(now, d.Levels)
	}
	others := map[string]place.Load{}
	if err := json.Unmarshal(d.Loads, &others); err != nil {
		event.HubLost.On(g.i.log()).Str("hub", to.Name).Err(eris.Wrap(err, "decode loads")).Send()
		return
	}
	for id, own := range d.Own {
		others[id] = others[id].Minus(own)
	}
	g.i.scheduler.hear(now, hearing{
		loads: others, paces: d.Paces, nodes: d.Nodes, used: used, sick: d.Sick, until: now.Add(sickWord),
	})
}

// answer is the hub's part of a report.
func (g *gossip) answer(r hub.Report) hub.Digest {
	now := time.Now()
	g.i.learn(r.From)
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
		Hub: g.i.cfg.Name, Run: g.i.run, Nodes: g.table.Nodes(now), Known: g.table.Known(), Loads: sum.JSON, Own: sum.Of[r.Node], Sick: sum.Sick,
		From: r.Revision,
	}
	if r.Sequence%pacesEvery == 1 {
		d.Paces = g.table.Paces()
	}
	g.mu.Unlock()
	if leads {
		g.i.rollouts.observe(r.Samples)
	}
	g.i.scheduler.use(now, used)
	if len(r.Items) > 0 && r.AgeMS >= 0 {
		g.i.follower.Hear(r.Items, false, g.i.follower.Revision(), r.Revision, time.Duration(r.AgeMS)*time.Millisecond)
	}
	if r.Sequence == 1 {
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
