package entry

import (
	"maps"
	"sync"
	"time"

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
	// placedInterval bounds the time between reports of an instance for which the hub places: it knows their loads and
	// failures from news, and relaySilence must cover two reports.
	placedInterval = relaySilence / 2
	// hubPause is how long a hub that did not answer is passed over.
	hubPause = 1500 * time.Millisecond
	// maxSamples bounds the outcomes that wait for a report.
	maxSamples = 512
)

// gossip exchanges reports with the other instances.
type gossip struct {
	i      *Instance
	client *hub.Client

	mu        sync.Mutex
	table     *hub.Table
	sequence  int64
	pending   map[string]share.Use // Use that was learned and not reported; guarded by mu, as all that follow.
	samples   []hub.Sample
	hub       string // Name of the hub that answered last; empty when this instance is the hub.
	hubRun    int64
	hubKnown  map[string]share.Use
	hubItems  int64 // Revision of the hub's copy.
	heard     time.Time
	heardAge  time.Duration        // Since the store answered the hub itself, when it was heard.
	avoid     map[string]time.Time // Hubs that did not answer.
	unsettled bool                 // The hub has just started and does not know what was used before.
	nodes     int                  // Instances in the latest digest.
	silent    silence
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
		g.i.contain("report", func() {
			if ok {
				g.report(target)
			} else {
				g.lead(now)
			}
			g.i.scheduler.Pump()
		})
		g.mu.Lock()
		n := g.nodes
		g.mu.Unlock()
		interval := hub.Interval(n, target.Cores)
		if g.i.asking.told(target.Name) {
			interval = max(interval, min(2*interval, placedInterval))
		}
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

// desk returns the hub, if it answers.
func (g *gossip) desk(now time.Time) (fleet.Node, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hub == "" || now.Sub(g.heard) >= relaySilence {
		return fleet.Node{}, false
	}
	n, ok := g.i.view.Load().Nodes[g.hub]
	return n, ok
}

// place answers the news of another instance while this one is the hub.
func (g *gossip) place(n hub.News) hub.Decisions {
	g.mu.Lock()
	leads := g.hub == ""
	g.mu.Unlock()
	if !leads || g.i.stopping.Load() != nil {
		return hub.Decisions{}
	}
	return g.i.scheduler.Serve(n, g.i.cfg.Cores)
}

// own returns what this instance adds to the sum as the hub.
func (g *gossip) own() (of map[string]map[string]place.Load, sick []string) {
	return g.i.scheduler.known(), g.i.scheduler.sick(time.Now())
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
	sharers := max(len(nodes), g.silent.count(now))
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
		loads: others, leads: true, of: sum.Of, paces: g.table.Paces(), nodes: nodes, sharers: sharers, sick: sum.Sick,
		until: now.Add(sickWord), stopping: g.table.Stopping(now),
	})
	samples := g.samples
	g.samples = nil
	g.i.rollouts.observe(samples)
}
