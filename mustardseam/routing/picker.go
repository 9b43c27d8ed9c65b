package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// near is the number of random servers of the same data centre that are compared. Two would prevent herding;
	// more find the rare fast ones.
	near = 6
	// far is the number of random servers of each other data centre that are compared.
	far = 2
	// price in seconds of another data centre: several round trips, so that prompts cross only for a clear gain.
	price = 0.005
	// loadPrice in seconds is what a full batch costs a request beyond its first token, as against an empty one.
	loadPrice = 0.05
)

// Request is what the picker needs to know of a request.
type Request struct {
	Version    string
	DataCentre string
	Prompt     int      // Tokens.
	Prefix     []uint64 // Chained hashes of the prompt's blocks.
	Avoid      []string // Names of servers that are taken only when no other has room.
}

// Picker picks backend servers; it is not safe for concurrent use.
type Picker struct {
	random *rand.Rand
	fleets map[string]*fleet
	nodes  map[uint32]*Node
	nextID uint32
	index  *index
	held   []held // Scratch memory of a pick.
}

// held is a server that probably has a part of a prompt cached.
type held struct {
	node   *Node
	blocks int
}

// New returns a picker without servers whose random choices follow from the seed.
func New(seed uint64) *Picker {
	return &Picker{
		random: rand.New(rand.NewPCG(seed, 0)),
		fleets: map[string]*fleet{},
		nodes:  map[uint32]*Node{},
		index:  newIndex(),
	}
}

// Add takes the server in; its Version and DataCentre must not change before Remove.
func (p *Picker) Add(n *Node) {
	f := p.fleets[n.Version]
	if f == nil {
		f = &fleet{}
		p.fleets[n.Version] = f
	}
	f.nodes++
	n.zone = f.zone(n.DataCentre)
	n.place = -1
	n.trust = 1
	p.Forget(n)
	p.Update(n)
}

// Remove takes the server out.
func (p *Picker) Remove(n *Node) {
	if n.place >= 0 {
		n.zone.remove(n)
	}
	f := n.zone.fleet
	f.nodes--
	if f.nodes == 0 {
		delete(p.fleets, n.Version)
	}
	delete(p.nodes, n.id)
}

// Update must be called after the server's room has changed.
func (p *Picker) Update(n *Node) {
	switch {
	case n.Room > 0 && n.place < 0:
		n.zone.add(n)
	case n.Room <= 0 && n.place >= 0:
		n.zone.remove(n)
	}
}

// Forget drops all knowledge of the server's cache, as after its restart.
func (p *Picker) Forget(n *Node) {
	delete(p.nodes, n.id)
	p.nextID++
	n.id = p.nextID
	p.nodes[n.id] = n
}

// Room returns the number of servers of the version that have room.
func (p *Picker) Room(version string) int {
	if f := p.fleets[version]; f != nil {
		return f.roomy
	}
	return 0
}

// Pick returns the server with room that has the shortest expected time to first token, and the prompt tokens that it
// probably has cached; it returns nil when no server of the version has room.
func (p *Picker) Pick(now time.Time, r Request) (best *Node, cached int) {
	f := p.fleets[r.Version]
	if f == nil || f.roomy == 0 {
		return nil, 0
	}
	b := choice{now: now, r: r, avoided: true}
	if n := len(r.Prefix); n > 0 {
		b.size = float64(r.Prompt) / float64(n)
	}
	p.collect(r)
	for _, h := range p.held {
		b.offer(h.node, h.blocks)
	}
	for _, z := range f.zones {
		p.sample(z, &b)
	}
	if b.best == nil || b.avoided && len(r.Avoid) > 0 {
		p.scan(f, &b)
	}
	return b.best, int(float64(b.hit) * b.size)
}

// collect collects the servers with room that hold the longest known parts of the prefix.
func (p *Picker) collect(r Request) {
	p.held = p.held[:0]
	positions(len(r.Prefix), func(i int) bool {
		b := p.index.find(r.Prefix[i])
		if b == nil {
			return true
		}
		for _, id := range b.nodes {
			n := p.nodes[id]
			if id == 0 || n == nil || n.place < 0 || n.Version != r.Version {
				continue
			}
			if !slices.ContainsFunc(p.held, func(h held) bool { return h.node == n }) {
				p.held = append(p.held, held{n, i + 1})
			}
		}
		return len(p.held) < holders
	})
}

// sample offers random servers of the zone, or all when there are few.
func (p *Picker) sample(z *zone, b *choice) {
	k := far
	if z.dataCentre == b.r.DataCentre {
		k = near
	}
	n := len(z.roomy)
	if n <= k {
		for _, node := range z.roomy {
			b.offer(node, p.blocks(node))
		}
		return
	}
	for range k {
		node := z.roomy[p.random.IntN(n)]
		b.offer(node, p.blocks(node))
	}
}

// blocks returns how much of the present prefix the server holds, if it is known.
func (p *Picker) blocks(n *Node) int {
	for _, h := range p.held {
		if h.node == n {
			return h.blocks
		}
	}
	return 0
}

// scan offers all servers with room; it serves the rare request that has servers to avoid and met only those.
func (p *Picker) scan(f *fleet, b *choice) {
	for _, z := range f.zones {
		for _, node := range z.roomy {
			b.offer(node, p.blocks(node))
		}
	}
}

// Dispatched takes in that a request was handed to the server.
func (p *Picker) Dispatched(now time.Time, n *Node, prompt, cached int, prefix []uint64) {
	n.backlog = n.Pending(now) + float64(max(0, prompt-cached))
	n.asOf = now
	positions(len(prefix), func(i int) bool {
		p.index.put(prefix[i], n.id)
		return true
	})
}

// Stored takes in that the server has stored the block; blocks that no request has named are ignored.
func (p *Picker) Stored(n *Node, hash uint64) {
	if p.index.find(hash) != nil {
		p.index.put(hash, n.id)
	}
}

// Evicted takes in that the server has evicted the block.
func (p *Picker) Evicted(n *Node, hash uint64) { p.index.drop(hash, n.id) }

// Observed compares the prediction of cached prompt tokens with what the server found.
func (p *Picker) Observed(n *Node, predicted, cached int, prefix []uint64) {
	if predicted <= 0 {
		return
	}
	n.trust += 0.1 * (min(1, float64(cached)/float64(predicted)) - n.trust)
	n.trust = max(0.1, n.trust)
	if cached > 0 || p.nodes[n.id] != n {
		return
	}
	positions(len(prefix), func(i int) bool {
		p.index.drop(prefix[i], n.id)
		return true
	})
}
